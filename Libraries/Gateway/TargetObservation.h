#pragma once

#include "Base/Clock.h"

#include <span>
#include <string>

namespace Toucan {

/// What one node learned of a target, for the other nodes.
struct TargetObservation {
    /// Id of the target's registration.
    std::string target;
    /// As in ReportedLoad.
    double slowdown { 1 };
    /// Time since the target reported it.
    Milliseconds age;
};

/// The observations as one text for the log: "TARGET:SLOWDOWN", separated by commas.
std::string toString(std::span<TargetObservation const> observations);

} // namespace Toucan
