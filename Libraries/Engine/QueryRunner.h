#pragma once

#include "Engine/CoordinatorState.h"
#include "Engine/Problems.h"
#include "Engine/Query.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Toucan {

/// Runs idempotent queries: fan-out, merge, hedges, retries and restarts.
class QueryRunner {
public:
    explicit QueryRunner(CoordinatorState& state)
        : state(state)
    {
    }

    void start(CallerRequest&& request, Milliseconds now);
    void abandon(RequestHandle handle, Milliseconds now);
    void onResult(PendingAttempt const& attempt, PartResult&& result, Milliseconds now);
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;
    size_t running() const { return this->queries.size(); }

private:
    enum class AttemptKind {
        First,
        Hedge,
        Retry,
    };

    void sendFirstAttempts(Query& query, Milliseconds now);
    /// Returns false when no untried replica is usable.
    bool sendAttempt(Query& query, uint32_t shard, AttemptKind kind, Milliseconds now);
    void merge(Query& query, ShardProgress& shard, PartResult&& result, Milliseconds now);
    /// Handles an open shard whose attempts have all failed: retries now or after a delay, restarts the query at
    /// another snapshot, or fails the shard.
    void handleFailedAttempt(Query& query, uint32_t shard, Milliseconds now);
    void hedge(Query& query, uint32_t shard, Milliseconds now);
    bool restart(Query& query, Milliseconds now);
    void failShard(Query& query, uint32_t shard, Milliseconds now);
    void cancelPendingAttempts(ShardProgress& shard, Milliseconds now);
    void cancelAll(Query& query, Milliseconds now);
    /// Ends the query with its merged parts if the rule allows it, otherwise with the refusal.
    void finish(Query& query, Refusal const& refusal, Milliseconds now);
    void refuse(CallerRequest const& request, Refusal const& refusal, Milliseconds now);
    /// Counts a failure for each target that has not answered by the deadline.
    void countUnansweredAttempts(Query const& query, Milliseconds now);
    void onTimer(Query& query, Milliseconds now);
    /// Moves the query's next wakeup to `time` unless it is already earlier.
    void scheduleNoLaterThan(Query& query, Milliseconds time);
    void scheduleNext(Query& query);
    void eraseIfFinished(uint64_t number);

    CoordinatorState& state;
    std::unordered_map<uint64_t, Query> queries;
    std::unordered_map<RequestHandle, uint64_t> numbersByHandle;
    std::set<std::pair<Milliseconds, uint64_t>> timers;
};

} // namespace Toucan
