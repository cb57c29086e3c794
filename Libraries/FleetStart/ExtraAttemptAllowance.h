#pragma once

#include <cstdint>
#include <optional>

namespace Toucan {

/// The allowance of extra attempts of one process for each service and window, so that the allowances of all processes
/// that run in one window stay within a total, also when all nodes restart once in the window and a tenth of them
/// twice. It responds to the number of nodes and not to the load. docs/design/fleet-start.md states the arithmetic.
class ExtraAttemptAllowance {
public:
    struct Limits {
        /// Allowance while the number of nodes is not known, in attempts.
        double allowance { 1 };
        /// Allowance of all nodes together, in attempts; empty when only `allowance` applies.
        std::optional<double> total;
    };
    /// What is known of the number of nodes.
    struct Nodes {
        /// Number of nodes; 0 when it is not known.
        uint32_t count { 0 };
        enum class Source {
            Counted,
            /// The number that was stored, which may be a fifth too small.
            Stored,
        } source { Source::Counted };

        bool operator==(Nodes const&) const = default;
    };

    explicit ExtraAttemptAllowance(Limits limits);

    /// Attempts for one process; may be a fraction.
    double of(Nodes nodes) const;

private:
    Limits limits;
};

} // namespace Toucan
