#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Toucan {

/// What a target reported to one node, for the other nodes: its slowdown, or that it leaves.
struct TargetObservation {
    /// Id of the target's registration; empty when only its hash is known.
    std::string target;
    /// Ratio of the present processing time to the usual one, as in ReportedLoad.
    double slowdown { 1 };
    /// Time since the target reported it.
    Milliseconds age {};
    /// hashTargetId() of the id; 0 when the id itself is given.
    uint32_t idHash { 0 };
    /// The target said that it is about to stop; `slowdown` has no meaning then.
    bool leaving { false };
};

/// Hash that identifies a target in compact messages between nodes, which all know its id. Two targets may have the
/// same hash.
uint32_t hashTargetId(std::string_view target);

/// Formats the observations for the log: "TARGET:SLOWDOWN" or "TARGET:leaving", separated by commas.
std::string toString(std::span<TargetObservation const> observations);

} // namespace Toucan
