#include "Engine/CommandRunner.h"

#include "Base/Hash.h"

namespace Toucan {

/// Largest number of attempts of one command.
static constexpr uint32_t maximumAttempts = 5;
static constexpr Milliseconds retryDelay { 5 };
/// A result is awaited for this long after the deadline, so that later duplicates get it instead of "unknown".
static constexpr Milliseconds resultGracePeriod { 100 };

void CommandRunner::start(CommandRequest const& request, Milliseconds now)
{
    ++this->state.counters.commands;
    auto const number = ++this->state.lastRunNumber;
    auto& command = this->commands[number];
    command.number = number;
    command.request = request;
    command.configuration = this->state.configuration;
    command.deadline = now + request.remaining;
    if (!command.configuration)
        return this->finish(command, Outcome::NotRun, notReady(), nullptr);
    command.service = command.configuration->service(request.service);
    if (!command.service)
        return this->finish(command, Outcome::NotRun, unknownService(request.service), nullptr);
    command.rule = &command.configuration->ruleOf(*command.service);
    if (command.deadline <= now)
        return this->finish(command, Outcome::NotRun, deadlineExceeded(), nullptr);
    this->state.statisticsOf(*command.rule).extraLoad.fill(command.rule->extraLoadBudget);
    this->send(command, now);
}

void CommandRunner::send(Command& command, Milliseconds now)
{
    auto const& service = *command.service;
    auto const* snapshot = this->state.selector.newestCompleteSnapshot(service, now);
    if (!snapshot)
        snapshot = this->state.selector.mostCompleteSnapshot(service, now);
    if (!snapshot)
        return this->finish(command, Outcome::NotRun, noUsableReplica(), nullptr);
    auto const shard = static_cast<uint32_t>(hash64(command.request.record) % snapshot->shards.size());
    auto const* target = this->state.selector.choose(service, *command.rule, *snapshot, shard, command.triedTargets,
        this->state.medianLatency(service.name, now), now);
    if (!target && !command.triedTargets.empty()) {
        command.triedTargets.clear();
        return this->scheduleAt(command, now + retryDelay);
    }
    if (!target)
        return this->finish(command, Outcome::NotRun, noUsableReplica(), nullptr);
    command.snapshot = snapshot->id;
    command.shard = shard;

    PendingAttempt attempt;
    attempt.runNumber = command.number;
    attempt.requestId = command.request.requestId;
    attempt.service = service.name;
    attempt.target = target->name;
    attempt.snapshot = snapshot->id;
    attempt.shard = shard;
    attempt.idempotence = Idempotence::NonIdempotent;
    PartRequest part;
    part.classIndex = command.request.classIndex;
    part.remaining = command.deadline - now;
    part.requestKey = command.request.requestKey;
    part.body = command.request.body;
    command.pendingAttempt = this->state.send(std::move(attempt), std::move(part), now);
    command.triedTargets.push_back(target->name);
    ++(command.attempts++ == 0 ? this->state.counters.firstAttempts : this->state.counters.retries);
    this->scheduleAt(command, command.deadline + resultGracePeriod);
}

void CommandRunner::onResult(PendingAttempt const& attempt, PartResult&& result, Milliseconds now)
{
    auto const found = this->commands.find(attempt.runNumber);
    if (found == this->commands.end())
        return;
    auto& command = found->second;
    auto const status = this->state.checkEcho(attempt, result, *command.rule);
    this->state.observe(attempt, result, status, *command.rule, now);
    command.pendingAttempt.clear();
    command.lastStatus = status;
    command.lastState = result.state;
    if (status == PartStatus::Complete)
        return this->finish(command, Outcome::Ran, {}, &result);
    if (!certainlyNotRun(status))
        return this->finish(command, Outcome::Unknown, partFailed(status), nullptr);
    this->handleFailedAttempt(command, now);
}

void CommandRunner::handleFailedAttempt(Command& command, Milliseconds now)
{
    auto const refuse = [&] { this->finish(command, Outcome::NotRun, partFailed(command.lastStatus), nullptr); };
    if (now >= command.deadline || command.attempts >= maximumAttempts)
        return refuse();
    if (isExemptFromBudget(command.lastStatus, command.lastState))
        return this->send(command, now);
    if (this->state.isOverloaded(command.service->name, *command.rule, now))
        return refuse();
    if (this->state.statisticsOf(*command.rule).extraLoad.tryTake())
        return this->send(command, now);
    this->scheduleAt(command, now + retryDelay);
}

void CommandRunner::finish(Command& command, Outcome outcome, Refusal const& refusal, PartResult* result)
{
    CommandResult commandResult;
    commandResult.requestKey = command.request.requestKey;
    commandResult.requestId = command.request.requestId;
    commandResult.outcome = outcome;
    commandResult.snapshot = command.snapshot;
    commandResult.shard = command.shard;
    if (result) {
        commandResult.hits = std::move(result->hits);
    } else {
        commandResult.status = refusal.status;
        commandResult.problem = refusal.problem;
        ++this->state.counters.errors;
    }
    this->timers.erase({ command.wakeup, command.number });
    this->commands.erase(command.number);
    this->state.outbox.post([this, commandResult = std::move(commandResult)]() mutable {
        this->state.hooks.commandFinished(std::move(commandResult));
    });
}

void CommandRunner::onTimer(Command& command, Milliseconds now)
{
    if (!command.pendingAttempt.empty()) {
        this->state.cancel(command.pendingAttempt, now);
        return this->finish(command, Outcome::Unknown, deadlineExceeded(), nullptr);
    }
    if (now >= command.deadline)
        return this->finish(command, Outcome::NotRun, deadlineExceeded(), nullptr);
    this->handleFailedAttempt(command, now);
}

void CommandRunner::scheduleAt(Command& command, Milliseconds time)
{
    this->timers.erase({ command.wakeup, command.number });
    command.wakeup = time;
    this->timers.emplace(time, command.number);
}

void CommandRunner::advance(Milliseconds now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now)
        this->onTimer(this->commands.at(this->timers.begin()->second), now);
}

Milliseconds CommandRunner::nextWakeup() const { return this->timers.empty() ? never : this->timers.begin()->first; }

} // namespace Toucan
