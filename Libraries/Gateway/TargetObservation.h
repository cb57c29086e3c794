#pragma once

#include "Base/Clock.h"
#include "Quarantine/TerminationReport.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Toucan {

/// What a target reported to one node, for the other nodes: its slowdown, that it leaves, or its rate limit. Or that
/// targets end under a request.
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
    /// The rate limit that the target states, in requests per second; `slowdown` has no meaning then.
    std::optional<double> rateLimit {};
    /// Set when the observation is about a request; `target` is then a text that identifies the report.
    std::optional<TerminationReport> termination {};

    bool isAboutRateLimit() const { return this->rateLimit.has_value(); }
};

/// Creates the observation of a request under which a target ended, or that succeeded since.
TargetObservation observationOf(TerminationReport const& report, Milliseconds age);

/// Value of TargetObservation::rateLimit when the target no longer states a limit.
constexpr double noRateLimit = std::numeric_limits<double>::infinity();

/// Hash that identifies a target in compact messages between nodes, which all know its id. Two targets may have the
/// same hash.
uint32_t hashTargetId(std::string_view target);

/// Formats the observations for the log: "TARGET:SLOWDOWN", "TARGET:leaving", "TARGET:limit-RATE",
/// "TARGET:no-limit" or "FINGERPRINT/TARGET-HASH:terminated", separated by commas.
std::string toString(std::span<TargetObservation const> observations);

} // namespace Toucan
