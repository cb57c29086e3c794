#include "Engine/EjectionPolicy.h"

#include <algorithm>
#include <vector>

namespace Toucan {

/// Consecutive failures after which a target is ejected.
static constexpr uint32_t failureLimit = 5;
static constexpr uint32_t samplesPerLatencyCheck = 50;
/// A target is slow when its latency exceeds the median of its service by this factor.
static constexpr double slowFactor = 10;
/// At most one in this many targets of a service is ejected.
static constexpr size_t targetsPerEjection = 3;

bool EjectionPolicy::isSlow(ServiceDefinition const& service, TargetHealth const& health) const
{
    // The median needs a pass over the service's targets, so it is computed only once in samplesPerLatencyCheck
    // samples.
    if (health.sampleCount() == 0 || health.sampleCount() % samplesPerLatencyCheck != 0)
        return false;
    std::vector<double> latencies;
    for (auto const& [name, definition] : service.targets) {
        if (auto const found = this->targetHealth.targets.find(name);
            found != this->targetHealth.targets.end() && found->second.smoothedLatency() > Milliseconds {})
            latencies.push_back(found->second.smoothedLatency().value);
    }
    if (latencies.size() < 2)
        return false;
    auto const middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::ranges::nth_element(latencies, middle);
    return health.smoothedLatency().value > slowFactor * *middle;
}

bool EjectionPolicy::exceedsEjectionLimit(ServiceDefinition const& service, Milliseconds now) const
{
    auto const ejected = std::ranges::count_if(service.targets, [&](auto const& entry) {
        auto const found = this->targetHealth.targets.find(entry.first);
        return found != this->targetHealth.targets.end() && found->second.isEjected(now);
    });
    return (static_cast<size_t>(ejected) + 1) * targetsPerEjection > service.targets.size();
}

bool EjectionPolicy::isLastReplica(ServiceDefinition const& service, std::string const& target, Milliseconds now) const
{
    auto const isUsable = [&](std::string const& name, std::string const& snapshot) {
        auto const definition = service.targets.find(name);
        if (definition == service.targets.end() || definition->second.intent == TargetIntent::Draining)
            return false;
        auto const& health = this->targetHealth.of(name);
        return !health.isEjected(now) && !health.isDraining(now)
            && !this->targetHealth.unavailableSnapshots.contains(name, snapshot, now);
    };
    for (auto const& snapshot : service.snapshots) {
        for (auto const& replicas : snapshot.shards) {
            if (std::ranges::find(replicas, target) == replicas.end())
                continue;
            auto const another = std::ranges::any_of(
                replicas, [&](auto const& name) { return name != target && isUsable(name, snapshot.id); });
            if (!another)
                return true;
        }
    }
    return false;
}

bool EjectionPolicy::ejectIfUnhealthy(
    ServiceDefinition const& service, TargetDefinition const& target, Milliseconds now)
{
    auto& health = this->targetHealth.of(target.name);
    if (health.isEjected(now))
        return false;
    if (health.consecutiveFailures() < failureLimit && !this->isSlow(service, health))
        return false;
    if (this->exceedsEjectionLimit(service, now) || this->isLastReplica(service, target.name, now))
        return false;
    health.eject(now);
    return true;
}

} // namespace Toucan
