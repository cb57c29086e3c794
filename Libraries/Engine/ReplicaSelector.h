#pragma once

#include "Configuration/Configuration.h"
#include "Engine/TargetHealthTable.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Toucan {

/// Chooses the snapshot that a query pins and the replica of each shard.
class ReplicaSelector {
public:
    ReplicaSelector(TargetHealthTable& targetHealth, std::function<double()> random);

    /// The newest snapshot in which every shard has a usable replica; null when there is none.
    SnapshotDefinition const* newestCompleteSnapshot(ServiceDefinition const& service, Milliseconds now) const;
    /// The snapshot with the largest share of shards that have a usable replica, the newest among equals.
    SnapshotDefinition const* mostCompleteSnapshot(ServiceDefinition const& service, Milliseconds now) const;
    /// Whether a replica of the shard holds the snapshot and is not leaving.
    bool hasUsableReplica(
        ServiceDefinition const& service, SnapshotDefinition const& snapshot, uint32_t shard, Milliseconds now) const;
    /// Best replica that is not in `triedTargets`, by default the cheaper of two random ones; null when there is none.
    /// `fallbackLatency` is assumed when neither was measured.
    TargetDefinition const* choose(ServiceDefinition const& service, Rule const& rule,
        SnapshotDefinition const& snapshot, uint32_t shard, std::span<std::string const> triedTargets,
        Milliseconds fallbackLatency, Milliseconds now) const;

private:
    bool isUsable(TargetDefinition const& target, std::string const& snapshot, Milliseconds now) const;
    double usableShare(ServiceDefinition const& service, SnapshotDefinition const& snapshot, Milliseconds now) const;
    size_t randomIndex(size_t size) const;

    TargetHealthTable& targetHealth;
    std::function<double()> random;
};

} // namespace Toucan
