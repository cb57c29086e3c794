#pragma once

#include "Engine/Messages.h"

namespace Toucan {

/// Verdicts that a node gives without running the command.
CommandVerdict invalidRequestKey(CommandRequest const& command);
CommandVerdict reusedRequestKey(CommandRequest const& command);
CommandVerdict forgottenRequestKey(CommandRequest const& command);
CommandVerdict notOwner(CommandRequest const& command);
CommandVerdict stopping(CommandRequest const& command);
CommandVerdict noDecisionInTime(std::string const& requestKey, std::string const& requestId);

} // namespace Toucan
