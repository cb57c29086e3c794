#include "Gateway/TargetSelector.h"

#include "Gateway/ShardOutlook.h"
#include <algorithm>

namespace Toucan {

/// Largest random addition to the expected latency, as a share of it, so that equal targets share the load.
constexpr double tieBreakShare = 0.1;

TargetSelector::TargetSelector(std::function<double()> random)
    : random(std::move(random))
{
}

TargetSelector::TargetPointer TargetSelector::choose(std::span<TargetPointer const> targets,
    std::span<TargetPointer const> excluded, GatewayTarget::RequestConditions const& conditions, Milliseconds now) const
{
    TargetPointer best;
    Milliseconds bestExpected;
    TargetPointer lastResort;
    for (auto const& target : targets) {
        if (std::find(excluded.begin(), excluded.end(), target) != excluded.end())
            continue;
        if (isLastResort(*target, now))
            lastResort = target;
        if (!isUsable(*target, now))
            continue;
        // Its connections were closed during the wait and its estimates are old, so by expected latency it would get
        // nothing while the others are not busy.
        if (target->isReturning())
            return target;
        auto const expected = target->expectedLatency(conditions, now) * (1 + tieBreakShare * this->random());
        if (!best || expected < bestExpected) {
            best = target;
            bestExpected = expected;
        }
    }
    return best ? best : lastResort;
}

} // namespace Toucan
