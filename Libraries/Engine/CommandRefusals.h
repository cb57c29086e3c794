#pragma once

#include "Engine/Messages.h"

namespace Toucan {

/// Results of commands that a node refuses, or whose outcome it does not know in time.
CommandResult invalidRequestKey(CommandRequest const& command);
CommandResult reusedRequestKey(CommandRequest const& command);
CommandResult expiredRequestKey(CommandRequest const& command);
CommandResult notOwner(CommandRequest const& command);
CommandResult nodeStopping(CommandRequest const& command);
CommandResult commandDeadlineExceeded(std::string const& requestKey, std::string const& requestId);

} // namespace Toucan
