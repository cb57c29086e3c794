#include "Engine/CoordinatorState.h"

namespace Toucan {

static constexpr Milliseconds defaultMedian { 1 };
/// The overload brake holds this long after the last sign of overload.
static constexpr Milliseconds overloadHold { 500 };
/// Share of the deadline that a part may wait in a carrier's queue before the service counts as overloaded.
static constexpr double overloadWaitShare = 0.5;
/// Recent parts from which on a service's own tail quantile is used.
static constexpr double ownTailCount = 400;
static constexpr Milliseconds defaultBackOff { 10 };
static constexpr Milliseconds longestBackOff { 5000 };
static constexpr double backOffJitter = 0.5;

CoordinatorState::CoordinatorState(Coordinator::Hooks hooks, std::string attemptPrefix)
    : hooks(std::move(hooks))
    , attemptPrefix(std::move(attemptPrefix))
    , selector(this->targetHealth, this->hooks.random)
    , ejection(this->targetHealth)
{
}

Milliseconds CoordinatorState::medianLatency(std::string const& service, Milliseconds now)
{
    return this->statisticsOf(service).partLatency.quantile(0.5, now).value_or(defaultMedian);
}

std::optional<Milliseconds> CoordinatorState::hedgeDelay(std::string const& service, Rule const& rule, Milliseconds now)
{
    auto const& own = this->statisticsOf(service).partLatency;
    if (own.count() >= ownTailCount)
        return own.quantile(rule.hedgeQuantile, now);
    return this->statisticsOf(rule).partLatency.quantile(rule.hedgeQuantile, now);
}

bool CoordinatorState::overloaded(std::string const& service, Rule const& rule, Milliseconds now)
{
    return rule.limits == Feature::On && now < this->statisticsOf(service).overloadedUntil;
}

AttemptId CoordinatorState::send(PendingAttempt&& attempt, PartRequest&& part, Milliseconds now)
{
    part.attempt = this->attemptPrefix + "/" + std::to_string(++this->lastAttempt);
    part.requestId = attempt.requestId;
    part.service = attempt.service;
    part.target = attempt.target;
    part.snapshot = attempt.snapshot;
    part.shard = attempt.shard;
    part.idempotence = attempt.idempotence;
    attempt.sent = now;
    this->targetHealth.of(attempt.target).addSent();
    auto id = part.attempt;
    this->attempts.emplace(id, std::move(attempt));
    this->outbox.post([this, part = std::move(part)] {
        // The attempt may have been cancelled by an earlier effect of the same event.
        if (this->attempts.contains(part.attempt))
            this->hooks.sendPart(part);
    });
    return id;
}

void CoordinatorState::cancel(AttemptId const& attempt, Milliseconds now)
{
    auto const found = this->attempts.find(attempt);
    if (found == this->attempts.end())
        return;
    auto const& pending = found->second;
    auto const elapsed = now - pending.sent;
    auto& known = this->targetHealth.of(pending.target);
    known.removeSent();
    known.addLowerBound(elapsed, now);
    // Without the losers the histogram would show only the fast parts, and hedges would come too early.
    if (auto& latency = this->statisticsOf(pending.service).partLatency;
        elapsed > this->medianLatency(pending.service, now)) {
        latency.add(elapsed, now);
        if (auto const* service = this->configuration->service(pending.service))
            this->statisticsOf(this->configuration->ruleOf(*service)).partLatency.add(elapsed, now);
    }
    this->reviewEjection(pending.service, pending.target, now);
    this->outbox.post([this, attempt, target = pending.target] { this->hooks.cancelPart(attempt, target); });
    this->attempts.erase(found);
}

void CoordinatorState::reviewEjection(std::string const& serviceName, std::string const& targetName, Milliseconds now)
{
    auto const* service = this->configuration->service(serviceName);
    if (!service || this->configuration->ruleOf(*service).ejection == Feature::Off)
        return;
    auto const target = service->targets.find(targetName);
    if (target != service->targets.end() && this->ejection.ejectIfUnhealthy(*service, target->second, now))
        ++this->counters.ejections;
}

void CoordinatorState::addFailure(AttemptId const& attempt, Milliseconds now)
{
    auto const found = this->attempts.find(attempt);
    if (found == this->attempts.end())
        return;
    this->targetHealth.of(found->second.target).addFailure();
    this->reviewEjection(found->second.service, found->second.target, now);
}

PartStatus CoordinatorState::checkEcho(PendingAttempt const& attempt, PartResult const& result, Rule const& rule)
{
    if (result.status != PartStatus::Complete || rule.echoCheck == Feature::Off)
        return result.status;
    auto const same = result.requestId == attempt.requestId && result.snapshot == attempt.snapshot
        && result.shard == attempt.shard && result.target == attempt.target && result.hits.isArray();
    return same ? PartStatus::Complete : PartStatus::Mismatch;
}

static bool isFailure(PartStatus status)
{
    switch (status) {
    case PartStatus::Truncated:
    case PartStatus::Mismatch:
    case PartStatus::DeadlineExceeded:
    case PartStatus::ConnectFailed:
    case PartStatus::ConnectionLost:
    case PartStatus::TargetError:
        return true;
    default:
        return false;
    }
}

/// A result that this node made up when the connection to the carrier broke has no service time.
static bool isLossOfDispatcher(PartResult const& result)
{
    return result.status == PartStatus::ConnectionLost && result.service == Milliseconds {};
}

void CoordinatorState::observe(
    PendingAttempt const& attempt, PartResult const& result, PartStatus status, Rule const& rule, Milliseconds now)
{
    auto& known = this->targetHealth.of(attempt.target);
    auto& statistics = this->statisticsOf(attempt.service);
    known.setState(result.state, now);
    known.setLoad(result.load, result.dispatcherQueueLength, now);
    if (status == PartStatus::Complete) {
        known.addSuccess(result.service, now);
        statistics.partLatency.add(now - attempt.sent, now);
        this->statisticsOf(rule).partLatency.add(now - attempt.sent, now);
    } else if (isFailure(status) && !isLossOfDispatcher(result)) {
        known.addFailure();
    }
    if (status == PartStatus::Mismatch)
        ++this->counters.mismatches;
    if (status == PartStatus::Truncated)
        ++this->counters.truncated;
    if (status == PartStatus::SnapshotUnavailable)
        this->targetHealth.unavailableSnapshots.add(attempt.target, attempt.snapshot, now);
    if (status == PartStatus::Shed && result.state != TargetState::Draining) {
        auto const base = result.retryAfter > Milliseconds {} ? result.retryAfter : defaultBackOff;
        known.backOffUntil(now + std::min(base, longestBackOff) * (1 + backOffJitter * this->hooks.random()));
    }
    if (status == PartStatus::Refused || status == PartStatus::ExpiredInQueue
        || result.queued > rule.deadline * overloadWaitShare)
        statistics.overloadedUntil = now + overloadHold;
    this->reviewEjection(attempt.service, attempt.target, now);
}

void CoordinatorState::setConfiguration(ConfigurationPointer next, Milliseconds now)
{
    auto const first = !this->configuration;
    this->configuration = std::move(next);
    std::unordered_map<std::string, TargetHealth> kept;
    for (auto const& [serviceName, service] : this->configuration->services) {
        for (auto const& [name, target] : service.targets) {
            auto const found = this->targetHealth.targets.find(name);
            if (found != this->targetHealth.targets.end())
                kept.insert_or_assign(name, found->second);
            else if (!first)
                kept[name].beginSlowStart(now);
        }
    }
    this->targetHealth.targets = std::move(kept);
    this->targetHealth.unavailableSnapshots.prune(now);
    std::erase_if(this->statistics, [&](auto const& entry) { return !this->configuration->service(entry.first); });
}

Json::Value CoordinatorState::describe(Milliseconds now)
{
    Json::Value result(Json::objectValue);
    auto& counts = result["counters"];
    counts["queries"] = Json::UInt64 { this->counters.queries };
    counts["commands"] = Json::UInt64 { this->counters.commands };
    counts["firstAttempts"] = Json::UInt64 { this->counters.firstAttempts };
    counts["hedges"] = Json::UInt64 { this->counters.hedges };
    counts["retries"] = Json::UInt64 { this->counters.retries };
    counts["restarts"] = Json::UInt64 { this->counters.restarts };
    counts["lateResults"] = Json::UInt64 { this->counters.lateResults };
    counts["mismatches"] = Json::UInt64 { this->counters.mismatches };
    counts["truncated"] = Json::UInt64 { this->counters.truncated };
    counts["ejections"] = Json::UInt64 { this->counters.ejections };
    counts["partialAnswers"] = Json::UInt64 { this->counters.partialAnswers };
    counts["errors"] = Json::UInt64 { this->counters.errors };
    result["pendingAttempts"] = Json::UInt64 { this->attempts.size() };
    result["targets"] = Json::Value(Json::objectValue);
    for (auto const& [name, known] : this->targetHealth.targets)
        result["targets"][name] = known.describe(now);
    result["services"] = Json::Value(Json::objectValue);
    for (auto const& [name, known] : this->statistics) {
        auto& service = result["services"][name];
        service["overloaded"] = now < known.overloadedUntil;
        if (auto const median = known.partLatency.quantile(0.5, now))
            service["medianPartMs"] = median->value;
    }
    result["rules"] = Json::Value(Json::objectValue);
    for (auto const& [name, known] : this->ruleStatistics)
        result["rules"][name]["extraLoadTokens"] = known.extraLoad.available();
    return result;
}

bool isFreeToReplace(PartStatus status, TargetState state)
{
    switch (status) {
    case PartStatus::SnapshotUnavailable:
    case PartStatus::ConnectFailed:
    case PartStatus::NoDispatcher:
        return true;
    case PartStatus::Shed:
        return state == TargetState::Draining;
    default:
        return false;
    }
}

} // namespace Toucan
