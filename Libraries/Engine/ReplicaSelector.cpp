#include "Engine/ReplicaSelector.h"

#include <algorithm>
#include <array>

namespace Toucan {

/// Preference among usable replicas; a worse tier is used only when the better ones are empty.
enum Tier {
    Ready,
    NotReady,
    Ejected,
    TierCount,
};

ReplicaSelector::ReplicaSelector(TargetHealthTable& targetHealth, std::function<double()> random)
    : targetHealth(targetHealth)
    , random(std::move(random))
{
}

bool ReplicaSelector::isUsable(TargetDefinition const& target, std::string const& snapshot, Milliseconds now) const
{
    if (target.intent == TargetIntent::Draining
        || this->targetHealth.unavailableSnapshots.contains(target.name, snapshot, now))
        return false;
    auto const found = this->targetHealth.targets.find(target.name);
    return found == this->targetHealth.targets.end() || !found->second.isDraining(now);
}

bool ReplicaSelector::hasUsableReplica(
    ServiceDefinition const& service, SnapshotDefinition const& snapshot, uint32_t shard, Milliseconds now) const
{
    return std::ranges::any_of(snapshot.shards[shard], [&](auto const& name) {
        auto const target = service.targets.find(name);
        return target != service.targets.end() && this->isUsable(target->second, snapshot.id, now);
    });
}

double ReplicaSelector::usableShare(
    ServiceDefinition const& service, SnapshotDefinition const& snapshot, Milliseconds now) const
{
    if (snapshot.shards.empty())
        return 0;
    size_t usable = 0;
    for (uint32_t shard = 0; shard < snapshot.shards.size(); ++shard)
        usable += this->hasUsableReplica(service, snapshot, shard, now) ? 1 : 0;
    return static_cast<double>(usable) / static_cast<double>(snapshot.shards.size());
}

SnapshotDefinition const* ReplicaSelector::mostCompleteSnapshot(
    ServiceDefinition const& service, Milliseconds now) const
{
    SnapshotDefinition const* best = nullptr;
    double bestShare = 0;
    for (auto const& snapshot : service.snapshots) {
        auto const share = this->usableShare(service, snapshot, now);
        if (share == 0 || share < bestShare)
            continue;
        if (best && share == bestShare && snapshot.sequence < best->sequence)
            continue;
        best = &snapshot;
        bestShare = share;
    }
    return best;
}

SnapshotDefinition const* ReplicaSelector::newestCompleteSnapshot(
    ServiceDefinition const& service, Milliseconds now) const
{
    SnapshotDefinition const* best = nullptr;
    for (auto const& snapshot : service.snapshots) {
        if (best && snapshot.sequence < best->sequence)
            continue;
        if (this->usableShare(service, snapshot, now) == 1)
            best = &snapshot;
    }
    return best;
}

size_t ReplicaSelector::randomIndex(size_t size) const
{
    return std::min(size - 1, static_cast<size_t>(this->random() * static_cast<double>(size)));
}

TargetDefinition const* ReplicaSelector::choose(ServiceDefinition const& service, Rule const& rule,
    SnapshotDefinition const& snapshot, uint32_t shard, std::span<std::string const> triedTargets,
    Milliseconds fallbackLatency, Milliseconds now) const
{
    std::array<std::vector<TargetDefinition const*>, TierCount> tiers;
    for (auto const& name : snapshot.shards[shard]) {
        auto const target = service.targets.find(name);
        if (target == service.targets.end() || !this->isUsable(target->second, snapshot.id, now))
            continue;
        if (std::ranges::find(triedTargets, name) != triedTargets.end())
            continue;
        auto const& health = this->targetHealth.of(name);
        auto const notReady = health.isStarting() || health.isBackingOff(now);
        tiers[health.isEjected(now) ? Ejected : notReady ? NotReady : Ready].push_back(&target->second);
    }
    auto const candidates = std::ranges::find_if(tiers, [](auto const& tier) { return !tier.empty(); });
    if (candidates == tiers.end())
        return nullptr;
    auto const first = this->randomIndex(candidates->size());
    if (rule.replicaChoice == ReplicaChoice::Random || candidates->size() == 1)
        return (*candidates)[first];
    auto second = this->randomIndex(candidates->size() - 1);
    if (second >= first)
        ++second;
    auto const* left = (*candidates)[first];
    auto const* right = (*candidates)[second];
    // An unmeasured target is assumed to be as fast as the other one; a fast one would otherwise always be preferred to
    // it, so that it would never be measured.
    auto const measuredLatency = std::max(
        this->targetHealth.of(left->name).smoothedLatency(), this->targetHealth.of(right->name).smoothedLatency());
    auto const assumedLatency = measuredLatency > Milliseconds {} ? measuredLatency : fallbackLatency;
    auto const cost = [&](TargetDefinition const* target) {
        return this->targetHealth.of(target->name).cost(target->slots, assumedLatency, now);
    };
    return cost(right) < cost(left) ? right : left;
}

} // namespace Toucan
