#pragma once

#include "Configuration/Configuration.h"
#include "Engine/HitMerger.h"
#include "Engine/Messages.h"

#include <limits>
#include <string>
#include <vector>

namespace Toucan {

/// Time of a timer that is not set.
constexpr Milliseconds never { std::numeric_limits<double>::infinity() };

/// Progress of one shard of a query at the pinned snapshot.
struct ShardProgress {
    enum class State {
        Open,
        Merged,
        /// No further attempt will be made.
        Failed,
    } state { State::Open };
    /// Attempts that have no result yet.
    std::vector<AttemptId> pendingAttempts;
    /// Targets to which an attempt was sent; cleared when every usable replica was tried.
    std::vector<std::string> triedTargets;
    uint32_t attempts { 0 };
    bool hedged { false };
    Milliseconds hedgeAt { never };
    Milliseconds retryAt { never };
    PartStatus lastStatus { PartStatus::NoDispatcher };
    TargetState lastState { TargetState::Serving };
};

/// State of one query between its start and its answer.
struct Query {
    uint64_t number { 0 };
    CallerRequest request;
    /// Keeps the definitions below alive.
    ConfigurationPointer configuration;
    ServiceDefinition const* service { nullptr };
    Rule const* rule { nullptr };
    SnapshotDefinition const* snapshot { nullptr };
    /// Index of the priority class; 0 is the most urgent one.
    uint32_t classIndex { 0 };
    Milliseconds deadline;
    Milliseconds wakeup { never };
    std::vector<ShardProgress> shards;
    HitMerger hits;
    uint32_t merged { 0 };
    uint32_t failed { 0 };
    uint32_t restarts { 0 };
    /// Set once an attempt may have run at a target.
    bool mayHaveRun { false };
    /// Longest wait of a merged part in a dispatcher's queue.
    Milliseconds queueTime;
    bool finished { false };

    Coverage coverage() const;
    bool allShardsDone() const { return this->merged + this->failed == this->shards.size(); }
    /// Whether the shards that have not failed suffice for the rule's minimum coverage.
    bool canReachMinimumCoverage() const;
    /// Whether the merged shards suffice for an answer with the rule's minimum coverage.
    bool hasMinimumCoverage() const;
    bool hasPendingAttempts() const;
};

} // namespace Toucan
