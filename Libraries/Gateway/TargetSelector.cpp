#include "Gateway/TargetSelector.h"

#include <algorithm>

namespace Toucan {

/// Time for which a draining target is used when there is no other; it still serves until all nodes know of the drain.
/// A node may receive the drain notice up to 2.5 s late, and no request may reach the target more than 3 s after the
/// start of the drain.
constexpr Milliseconds drainingFallbackTime { 400 };
/// Largest random addition to the expected latency, as a share of it, so that equal targets share the load.
constexpr double tieBreakShare = 0.1;

TargetSelector::TargetSelector(std::function<double()> random)
    : random(std::move(random))
{
}

static bool isUsable(GatewayTarget const& target, Milliseconds now)
{
    return !target.isReplaced() && !target.isBlocked(now);
}

TargetSelector::TargetPointer TargetSelector::choose(std::span<TargetPointer const> targets,
    std::span<TargetPointer const> excluded, GatewayTarget::RequestConditions const& conditions, Milliseconds now) const
{
    TargetPointer best;
    Milliseconds bestExpected;
    TargetPointer lastResort;
    for (auto const& target : targets) {
        if (!isUsable(*target, now) || std::find(excluded.begin(), excluded.end(), target) != excluded.end())
            continue;
        if (target->isDraining()) {
            if (now - target->drainingSince() < drainingFallbackTime)
                lastResort = target;
            continue;
        }
        auto const expected = target->expectedLatency(conditions, now) * (1 + tieBreakShare * this->random());
        if (!best || expected < bestExpected) {
            best = target;
            bestExpected = expected;
        }
    }
    return best ? best : lastResort;
}

size_t TargetSelector::countUsable(std::span<TargetPointer const> targets, Milliseconds now)
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
