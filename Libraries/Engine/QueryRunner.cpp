#include "Engine/QueryRunner.h"

#include <algorithm>

namespace Toucan {

/// Largest number of restarts of one query at another snapshot.
static constexpr uint32_t maximumRestarts = 2;
static constexpr uint32_t maximumAttemptsPerShard = 5;
/// Delay before the next try for a shard that got no budget token or has no untried replica.
static constexpr Milliseconds retryDelay { 5 };
static constexpr Milliseconds minimumHedgeDelay { 1 };

void QueryRunner::start(CallerRequest&& request, Milliseconds now)
{
    ++this->state.counters.queries;
    auto const& configuration = this->state.configuration;
    if (!configuration)
        return this->refuse(request, notReady(), now);
    auto const* service = configuration->service(request.service);
    if (!service)
        return this->refuse(request, unknownService(request.service), now);
    auto const& rule = configuration->ruleOf(*service);
    auto const timeout = request.timeout > Milliseconds {} ? request.timeout : rule.deadline;
    auto const deadline = request.received + timeout;
    if (deadline <= now)
        return this->refuse(request, deadlineExceeded(), now);
    auto const* snapshot = this->state.selector.newestCompleteSnapshot(*service, now);
    if (!snapshot && rule.minimumCoverage < 1)
        snapshot = this->state.selector.mostCompleteSnapshot(*service, now);
    if (!snapshot)
        return this->refuse(request, noUsableReplica(), now);

    auto const number = ++this->state.lastRunNumber;
    auto& query = this->queries[number];
    query.number = number;
    query.request = std::move(request);
    query.configuration = configuration;
    query.service = service;
    query.rule = &rule;
    query.snapshot = snapshot;
    query.classIndex
        = configuration->classIndex(query.request.priority.empty() ? rule.priority : query.request.priority);
    query.deadline = deadline;
    this->numbersByHandle[query.request.handle] = number;
    this->scheduleNoLaterThan(query, deadline);
    this->state.statisticsOf(rule).extraLoad.fill(rule.extraLoadBudget * static_cast<double>(snapshot->shards.size()));
    this->sendFirstAttempts(query, now);
    this->eraseIfFinished(number);
}

void QueryRunner::sendFirstAttempts(Query& query, Milliseconds now)
{
    auto const* snapshot = query.snapshot;
    query.shards.assign(snapshot->shards.size(), {});
    query.merged = 0;
    query.failed = 0;
    query.queueTime = {};
    for (uint32_t shard = 0; shard < snapshot->shards.size() && !query.finished; ++shard) {
        if (!this->sendAttempt(query, shard, AttemptKind::First, now))
            this->failShard(query, shard, now);
    }
}

bool QueryRunner::sendAttempt(Query& query, uint32_t shard, AttemptKind kind, Milliseconds now)
{
    auto& progress = query.shards[shard];
    auto const* target = this->state.selector.choose(*query.service, *query.rule, *query.snapshot, shard,
        progress.triedTargets, this->state.medianLatency(query.service->name, now), now);
    if (!target)
        return false;
    PendingAttempt attempt;
    attempt.runNumber = query.number;
    attempt.requestId = query.request.requestId;
    attempt.service = query.service->name;
    attempt.target = target->name;
    attempt.snapshot = query.snapshot->id;
    attempt.shard = shard;
    PartRequest part;
    part.classIndex = query.classIndex;
    part.remaining = query.deadline - now;
    part.body = query.request.body;
    progress.pendingAttempts.push_back(this->state.send(std::move(attempt), std::move(part), now));
    progress.triedTargets.push_back(target->name);
    ++progress.attempts;
    progress.retryAt = never;

    auto& counters = this->state.counters;
    if (kind == AttemptKind::First)
        ++counters.firstAttempts;
    else if (kind == AttemptKind::Hedge)
        ++counters.hedges;
    else
        ++counters.retries;
    if (query.rule->hedge == Feature::On && !progress.hedged) {
        auto const delay = this->state.hedgeDelay(query.service->name, *query.rule, now);
        progress.hedgeAt = delay ? now + std::max(*delay, minimumHedgeDelay) : never;
        this->scheduleNoLaterThan(query, progress.hedgeAt);
    }
    return true;
}

void QueryRunner::onResult(PendingAttempt const& attempt, PartResult&& result, Milliseconds now)
{
    auto const found = this->queries.find(attempt.runNumber);
    if (found == this->queries.end())
        return;
    auto& query = found->second;
    auto const shard = attempt.shard;
    auto& progress = query.shards[shard];
    auto const status = this->state.checkEcho(attempt, result, *query.rule);
    this->state.observe(attempt, result, status, *query.rule, now);
    std::erase(progress.pendingAttempts, result.attempt);
    query.mayHaveRun |= !certainlyNotRun(status);
    if (status == PartStatus::Complete) {
        this->merge(query, progress, std::move(result), now);
    } else if (progress.state == ShardProgress::State::Open) {
        progress.lastStatus = status;
        progress.lastState = result.state;
        if (progress.pendingAttempts.empty())
            this->handleFailedAttempt(query, shard, now);
    }
    this->eraseIfFinished(query.number);
}

void QueryRunner::merge(Query& query, ShardProgress& shard, PartResult&& result, Milliseconds now)
{
    if (shard.state != ShardProgress::State::Open)
        return;
    shard.state = ShardProgress::State::Merged;
    ++query.merged;
    query.queueTime = std::max(query.queueTime, result.queueTime);
    query.hits.add(std::move(result.hits));
    this->cancelPendingAttempts(shard, now);
    if (query.allShardsDone())
        this->finish(query, deadlineExceeded(), now);
}

void QueryRunner::handleFailedAttempt(Query& query, uint32_t shard, Milliseconds now)
{
    auto& progress = query.shards[shard];
    progress.retryAt = never;
    if (!this->state.selector.hasUsableReplica(*query.service, *query.snapshot, shard, now)) {
        if (!this->restart(query, now))
            this->failShard(query, shard, now);
        return;
    }
    if (progress.attempts >= maximumAttemptsPerShard)
        return this->failShard(query, shard, now);
    auto const exempt = isExemptFromBudget(progress.lastStatus, progress.lastState);
    if (!exempt && this->state.isOverloaded(query.service->name, *query.rule, now))
        return this->failShard(query, shard, now);
    auto const untried = this->state.selector.choose(
        *query.service, *query.rule, *query.snapshot, shard, progress.triedTargets, Milliseconds { 1 }, now);
    auto& extraLoad = this->state.statisticsOf(*query.rule).extraLoad;
    if (!untried) {
        // Every usable replica was tried; all of them may be tried again after a delay.
        progress.triedTargets.clear();
    } else if (exempt || extraLoad.tryTake()) {
        this->sendAttempt(query, shard, AttemptKind::Retry, now);
        return;
    }
    progress.retryAt = now + retryDelay;
    this->scheduleNoLaterThan(query, progress.retryAt);
}

bool QueryRunner::restart(Query& query, Milliseconds now)
{
    if (query.restarts >= maximumRestarts || query.deadline - now < this->state.medianLatency(query.service->name, now))
        return false;
    // The snapshot that replaces the pinned one may have been published after the query began.
    auto const& configuration = this->state.configuration;
    auto const* service = configuration->service(query.service->name);
    if (!service)
        return false;
    auto const* snapshot = this->state.selector.newestCompleteSnapshot(*service, now);
    if (!snapshot || snapshot->id == query.snapshot->id)
        return false;
    ++query.restarts;
    ++this->state.counters.restarts;
    // Attempts that are cancelled here may still run.
    query.mayHaveRun |= query.hasPendingAttempts();
    this->cancelAll(query, now);
    query.hits.clear();
    query.snapshot = snapshot;
    query.service = service;
    query.rule = &configuration->ruleOf(*service);
    query.configuration = configuration;
    this->sendFirstAttempts(query, now);
    return true;
}

void QueryRunner::hedge(Query& query, uint32_t shard, Milliseconds now)
{
    auto& progress = query.shards[shard];
    progress.hedgeAt = never;
    if (this->state.isOverloaded(query.service->name, *query.rule, now))
        return;
    auto const* another = this->state.selector.choose(
        *query.service, *query.rule, *query.snapshot, shard, progress.triedTargets, Milliseconds { 1 }, now);
    if (!another)
        return;
    if (!this->state.statisticsOf(*query.rule).extraLoad.tryTakeForHedge()) {
        progress.hedgeAt = now + retryDelay;
        return;
    }
    progress.hedged = true;
    this->sendAttempt(query, shard, AttemptKind::Hedge, now);
}

void QueryRunner::failShard(Query& query, uint32_t shard, Milliseconds now)
{
    auto& progress = query.shards[shard];
    progress.state = ShardProgress::State::Failed;
    this->cancelPendingAttempts(progress, now);
    ++query.failed;
    // An answer below the minimum coverage is useless to the caller, so the query does not wait for the remaining
    // parts.
    if (query.allShardsDone() || !query.canReachMinimumCoverage())
        this->finish(query, partFailed(progress.lastStatus), now);
}

void QueryRunner::cancelPendingAttempts(ShardProgress& shard, Milliseconds now)
{
    for (auto const& attempt : shard.pendingAttempts)
        this->state.cancel(attempt, now);
    shard.pendingAttempts.clear();
}

void QueryRunner::cancelAll(Query& query, Milliseconds now)
{
    for (auto& shard : query.shards)
        this->cancelPendingAttempts(shard, now);
}

void QueryRunner::finish(Query& query, Refusal const& refusal, Milliseconds now)
{
    if (query.finished)
        return;
    query.finished = true;
    query.mayHaveRun |= query.hasPendingAttempts();
    this->cancelAll(query, now);
    CallerAnswer answer;
    answer.handle = query.request.handle;
    answer.requestId = query.request.requestId;
    answer.service = query.service->name;
    answer.snapshot = query.snapshot->id;
    answer.coverage = query.coverage();
    answer.queueTime = query.queueTime;
    answer.totalTime = now - query.request.received;
    if (query.hasMinimumCoverage()) {
        answer.outcome = Outcome::Ran;
        answer.hits = query.hits.take(query.request.limit);
        this->state.counters.partialAnswers += answer.coverage.isComplete() ? 0 : 1;
    } else {
        answer.outcome = query.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        answer.status = refusal.status;
        answer.problem = refusal.problem;
        ++this->state.counters.errors;
    }
    this->state.outbox.post(
        [this, answer = std::move(answer)]() mutable { this->state.hooks.answer(std::move(answer)); });
}

void QueryRunner::refuse(CallerRequest const& request, Refusal const& refusal, Milliseconds now)
{
    ++this->state.counters.errors;
    CallerAnswer answer;
    answer.handle = request.handle;
    answer.requestId = request.requestId;
    answer.service = request.service;
    answer.status = refusal.status;
    answer.outcome = Outcome::NotRun;
    answer.totalTime = now - request.received;
    answer.problem = refusal.problem;
    this->state.outbox.post(
        [this, answer = std::move(answer)]() mutable { this->state.hooks.answer(std::move(answer)); });
}

void QueryRunner::abandon(RequestHandle handle, Milliseconds now)
{
    auto const found = this->numbersByHandle.find(handle);
    if (found == this->numbersByHandle.end())
        return;
    auto const number = found->second;
    auto& query = this->queries.at(number);
    query.finished = true;
    this->cancelAll(query, now);
    this->eraseIfFinished(number);
}

void QueryRunner::onTimer(Query& query, Milliseconds now)
{
    if (now >= query.deadline) {
        this->countUnansweredAttempts(query, now);
        this->finish(query, deadlineExceeded(), now);
        return;
    }
    auto const restarts = query.restarts;
    for (uint32_t shard = 0; shard < query.shards.size(); ++shard) {
        auto& progress = query.shards[shard];
        if (progress.state != ShardProgress::State::Open)
            continue;
        if (progress.pendingAttempts.empty() && now >= progress.retryAt)
            this->handleFailedAttempt(query, shard, now);
        else if (progress.pendingAttempts.size() == 1 && !progress.hedged && now >= progress.hedgeAt)
            this->hedge(query, shard, now);
        if (query.finished || query.restarts != restarts)
            break;
    }
    this->scheduleNext(query);
}

void QueryRunner::countUnansweredAttempts(Query const& query, Milliseconds now)
{
    // Under overload, a missing answer indicates a long queue rather than a failing target.
    if (this->state.isOverloaded(query.service->name, *query.rule, now))
        return;
    for (auto const& shard : query.shards) {
        for (auto const& attempt : shard.pendingAttempts)
            this->state.addFailure(attempt, now);
    }
}

void QueryRunner::scheduleNoLaterThan(Query& query, Milliseconds time)
{
    if (time >= query.wakeup)
        return;
    this->timers.erase({ query.wakeup, query.number });
    query.wakeup = time;
    this->timers.emplace(time, query.number);
}

void QueryRunner::scheduleNext(Query& query)
{
    auto next = query.deadline;
    for (auto const& shard : query.shards) {
        if (shard.state != ShardProgress::State::Open)
            continue;
        if (shard.pendingAttempts.empty())
            next = std::min(next, shard.retryAt);
        else if (!shard.hedged)
            next = std::min(next, shard.hedgeAt);
    }
    this->timers.erase({ query.wakeup, query.number });
    query.wakeup = next;
    this->timers.emplace(next, query.number);
}

void QueryRunner::eraseIfFinished(uint64_t number)
{
    auto const found = this->queries.find(number);
    if (found == this->queries.end() || !found->second.finished)
        return;
    this->timers.erase({ found->second.wakeup, number });
    if (auto const handle = this->numbersByHandle.find(found->second.request.handle);
        handle != this->numbersByHandle.end() && handle->second == number)
        this->numbersByHandle.erase(handle);
    this->queries.erase(found);
}

void QueryRunner::advance(Milliseconds now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        auto const number = this->timers.begin()->second;
        this->onTimer(this->queries.at(number), now);
        this->eraseIfFinished(number);
    }
}

Milliseconds QueryRunner::nextWakeup() const { return this->timers.empty() ? never : this->timers.begin()->first; }

} // namespace Toucan
