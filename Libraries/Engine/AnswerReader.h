#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Messages.h"

namespace Toucan {

/// Turns a target's answer to `request` into a part result. The echoed fields come from the body, so that the
/// coordinator can compare them. With `echoCheck` off, a foreign `attempt` in the body is accepted.
PartResult readTargetAnswer(TargetAnswer&& answer, PartRequest const& request, Feature echoCheck);

} // namespace Toucan
