#pragma once

#include "Engine/Messages.h"

namespace Toucan {

/// Verdicts that a node gives without running the command.
CommandResult invalidRequestKey(CommandRequest const& command);
CommandResult reusedRequestKey(CommandRequest const& command);
CommandResult expiredRequestKey(CommandRequest const& command);
CommandResult notOwner(CommandRequest const& command);
CommandResult nodeStopping(CommandRequest const& command);
CommandResult commandDeadlineExceeded(std::string const& requestKey, std::string const& requestId);

} // namespace Toucan
