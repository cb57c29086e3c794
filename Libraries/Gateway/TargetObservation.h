#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Toucan {

/// What one node learned of a target, for the other nodes.
struct TargetObservation {
    /// Id of the target's registration; empty when only its code is known.
    std::string target;
    /// As in ReportedLoad.
    double slowdown { 1 };
    /// Time since the target reported it.
    Milliseconds age;
    /// See codeOf(); 0 when the id is known.
    uint32_t code { 0 };
};

/// Short name of a target between nodes, which all know its id: a hash, so that two targets may have the same one.
uint32_t codeOf(std::string_view target);

/// The observations as one text for the log: "TARGET:SLOWDOWN", separated by commas.
std::string toString(std::span<TargetObservation const> observations);

} // namespace Toucan
