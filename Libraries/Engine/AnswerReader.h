#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Messages.h"

namespace Toucan {

/// Turns a target's answer to `request` into a part result. The echoed fields come from the body, so that the
/// coordinator can compare them. With `echoCheck` off, an answer that echoes another attempt id is accepted.
PartResult readTargetAnswer(TargetAnswer&& answer, PartRequest const& request, Feature echoCheck);

} // namespace Toucan
