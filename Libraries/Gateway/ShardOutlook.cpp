#include "Gateway/ShardOutlook.h"

#include <algorithm>

namespace Toucan {

/// Time for which a draining target is used when there is no other; it still serves until all nodes know of the drain.
/// A node may receive the drain notice up to 2.5 s late, and no request may reach the target more than 3 s after the
/// start of the drain.
constexpr Milliseconds drainingFallbackTime { 400 };

bool isUsable(GatewayTarget const& target, Milliseconds now)
{
    return !target.isReplaced() && !target.isLeaving() && !target.isEvacuated() && !target.isBlocked(now)
        && !target.isWaiting(now) && !target.isAtRateLimit(now) && !target.isDraining();
}

static bool isWithinDrainingFallback(GatewayTarget const& target, Milliseconds now)
{
    return target.isDraining() && now - target.drainingSince() < drainingFallbackTime;
}

bool isLastResort(GatewayTarget const& target, Milliseconds now)
{
    return isWithinDrainingFallback(target, now) && !target.isReplaced() && !target.isLeaving() && !target.isEvacuated()
        && !target.isBlocked(now) && !target.isWaiting(now) && !target.isAtRateLimit(now);
}

bool mayReceiveAssigned(GatewayTarget const& target, Assignment const& assignment, Milliseconds now)
{
    if (!assignment.hasPermit && target.isAtRateLimit(now))
        return false;
    if (target.isRemoved() || target.isReplaced() || target.isLeaving() || target.isEvacuated()
        || target.isWaiting(now))
        return false;
    return !target.isDraining() || (assignment.asLastResort && isWithinDrainingFallback(target, now));
}

ShardOutlook outlookOf(std::span<TargetDirectory::TargetPointer const> targets, Milliseconds now)
{
    ShardOutlook outlook;
    std::optional<double> shortestQueue;
    std::optional<double> lowestFailureShare;
    size_t lastResorts = 0;
    for (auto const& target : targets) {
        if (isLastResort(*target, now))
            ++lastResorts;
        if (target->isReplaced() || target->isDraining() || target->isLeaving() || target->isEvacuated())
            continue;
        auto const at = std::max({ target->blockEnd(), target->waitEnd(), target->permitAt(now) });
        outlook.availableAt = outlook.availableAt ? std::min(*outlook.availableAt, at) : at;
        if (!isUsable(*target, now))
            continue;
        ++outlook.usable;
        auto const queue = target->queuePerSlot(now);
        shortestQueue = std::min(shortestQueue.value_or(queue), queue);
        auto const failureShare = target->failureShare(now);
        lowestFailureShare = std::min(lowestFailureShare.value_or(failureShare), failureShare);
    }
    if (outlook.usable == 0)
        outlook.usable = lastResorts;
    outlook.queuePerSlot = shortestQueue.value_or(0);
    outlook.failureShare = lowestFailureShare.value_or(0);
    return outlook;
}

} // namespace Toucan
