#pragma once

#include "Base/Clock.h"

#include <optional>
#include <span>
#include <string>

namespace Toucan {

/// What one node learned of a target, for the other nodes.
struct TargetObservation {
    /// Id of the target's registration.
    std::string target;
    /// As in ReportedLoad; empty when an attempt at the target failed.
    std::optional<double> slowdown;
    /// Time since it was observed.
    Milliseconds age;
};

/// The observations as one text for the log: "TARGET:SLOWDOWN" or "TARGET:failed", separated by commas.
std::string toString(std::span<TargetObservation const> observations);

} // namespace Toucan
