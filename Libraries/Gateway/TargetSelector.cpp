#include "Gateway/TargetSelector.h"

#include <algorithm>

namespace Toucan {

/// A draining target still serves while all nodes learn of it; it is the last resort for this time only. A node may
/// learn of the drain up to 2.5 s late, and no request may reach the target 3 s after it.
constexpr Milliseconds drainingLastResort { 400 };
/// Random share of the expected latency, so that equal targets share the load.
constexpr double tieBreak = 0.1;

TargetSelector::TargetSelector(std::function<double()> random)
    : random(std::move(random))
{
}

static bool isUsable(GatewayTarget const& target, Milliseconds now)
{
    return !target.isReplaced() && !target.isBlocked(now);
}

TargetSelector::TargetPointer TargetSelector::choose(std::span<TargetPointer const> targets,
    std::span<TargetPointer const> excluded, GatewayTarget::Demand const& demand, Milliseconds now) const
{
    TargetPointer best;
    Milliseconds bestExpected;
    TargetPointer lastResort;
    for (auto const& target : targets) {
        if (!isUsable(*target, now) || std::find(excluded.begin(), excluded.end(), target) != excluded.end())
            continue;
        if (target->isDraining()) {
            if (now - target->drainingSince() < drainingLastResort)
                lastResort = target;
            continue;
        }
        auto const expected = target->expectedLatency(demand, now) * (1 + tieBreak * this->random());
        if (!best || expected < bestExpected) {
            best = target;
            bestExpected = expected;
        }
    }
    return best ? best : lastResort;
}

size_t TargetSelector::usable(std::span<TargetPointer const> targets, Milliseconds now)
{
    return static_cast<size_t>(std::count_if(targets.begin(), targets.end(),
        [now](TargetPointer const& target) { return isUsable(*target, now) && !target->isDraining(); }));
}

Milliseconds TargetSelector::nextAvailable(std::span<TargetPointer const> targets, Milliseconds now)
{
    std::optional<Milliseconds> earliest;
    for (auto const& target : targets) {
        if (target->isReplaced() || target->isDraining())
            continue;
        auto const at = std::max(target->blockEnd(), now);
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest.value_or(now);
}

} // namespace Toucan
