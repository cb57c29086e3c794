#include "FleetStart/ExtraAttemptAllowance.h"

namespace Toucan {

/// Lifetimes of processes that overlap one window, for each node: every node restarts once and a tenth of them twice.
constexpr double lifetimesPerNode = 2.1;
/// Ratio of the true number of nodes to a stored one that is not yet corrected; see StoredNodeCount.
constexpr double storedCountReserve = 1.2;

ExtraAttemptAllowance::ExtraAttemptAllowance(Limits limits)
    : limits(limits)
{
}

double ExtraAttemptAllowance::of(Nodes nodes) const
{
    if (!this->limits.total || nodes.count == 0)
        return this->limits.allowance;
    auto const reserve = nodes.source == Nodes::Source::Stored ? storedCountReserve : 1;
    return *this->limits.total / (lifetimesPerNode * reserve * nodes.count);
}

} // namespace Toucan
