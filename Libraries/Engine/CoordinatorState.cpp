#include "Engine/CoordinatorState.h"

namespace Toucan {

static constexpr Milliseconds defaultMedianLatency { 1 };
/// A service counts as overloaded for this long after the last sign of overload.
static constexpr Milliseconds overloadHoldTime { 500 };
/// Share of the deadline that a part may wait in a dispatcher's queue before the service counts as overloaded.
static constexpr double overloadQueueTimeShare = 0.5;
/// A service with at least this many recent parts uses its own tail quantile, others that of their rule.
static constexpr double minimumServiceSamples = 400;
static constexpr Milliseconds defaultBackOff { 10 };
static constexpr Milliseconds maximumBackOff { 5000 };
/// Largest random addition to a back-off, as a share of it.
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
    return this->statisticsOf(service).partLatency.quantile(0.5, now).value_or(defaultMedianLatency);
}

std::optional<Milliseconds> CoordinatorState::hedgeDelay(std::string const& service, Rule const& rule, Milliseconds now)
{
    auto const& serviceLatency = this->statisticsOf(service).partLatency;
    if (serviceLatency.count() >= minimumServiceSamples)
        return serviceLatency.quantile(rule.hedgeQuantile, now);
    return this->statisticsOf(rule).partLatency.quantile(rule.hedgeQuantile, now);
}

bool CoordinatorState::isOverloaded(std::string const& service, Rule const& rule, Milliseconds now)
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
    this->targetHealth.of(attempt.target).addInFlight();
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
    auto& health = this->targetHealth.of(pending.target);
    health.removeInFlight();
    health.addLatencyLowerBound(elapsed, now);
    // Without cancelled attempts the histogram would contain only fast parts, and hedges would be sent too early.
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
    auto const matches = result.requestId == attempt.requestId && result.snapshot == attempt.snapshot
        && result.shard == attempt.shard && result.target == attempt.target && result.hits.isArray();
    return matches ? PartStatus::Complete : PartStatus::Mismatch;
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

/// True for a result that this node generated when it lost the connection to the dispatcher; it has no service time.
static bool isLossOfDispatcher(PartResult const& result)
{
    return result.status == PartStatus::ConnectionLost && result.serviceTime == Milliseconds {};
}

void CoordinatorState::observe(
    PendingAttempt const& attempt, PartResult const& result, PartStatus status, Rule const& rule, Milliseconds now)
{
    auto& health = this->targetHealth.of(attempt.target);
    auto& statistics = this->statisticsOf(attempt.service);
    health.setState(result.state, now);
    health.setLoad(result.load, result.dispatcherQueueLength, now);
    if (status == PartStatus::Complete) {
        health.addSuccess(result.serviceTime, now);
        statistics.partLatency.add(now - attempt.sent, now);
        this->statisticsOf(rule).partLatency.add(now - attempt.sent, now);
    } else if (isFailure(status) && !isLossOfDispatcher(result)) {
        health.addFailure();
    }
    if (status == PartStatus::Mismatch)
        ++this->counters.mismatches;
    if (status == PartStatus::Truncated)
        ++this->counters.truncated;
    if (status == PartStatus::SnapshotUnavailable)
        this->targetHealth.unavailableSnapshots.add(attempt.target, attempt.snapshot, now);
    if (status == PartStatus::Shed && result.state != TargetState::Draining) {
        auto const base = result.retryAfter > Milliseconds {} ? result.retryAfter : defaultBackOff;
        health.backOffUntil(now + std::min(base, maximumBackOff) * (1 + backOffJitter * this->hooks.random()));
    }
    if (status == PartStatus::Refused || status == PartStatus::ExpiredInQueue
        || result.queueTime > rule.deadline * overloadQueueTimeShare)
        statistics.overloadedUntil = now + overloadHoldTime;
    this->reviewEjection(attempt.service, attempt.target, now);
}

void CoordinatorState::setConfiguration(ConfigurationPointer next, Milliseconds now)
{
    auto const isFirstConfiguration = !this->configuration;
    this->configuration = std::move(next);
    std::unordered_map<std::string, TargetHealth> retained;
    for (auto const& [serviceName, service] : this->configuration->services) {
        for (auto const& [name, target] : service.targets) {
            auto const found = this->targetHealth.targets.find(name);
            if (found != this->targetHealth.targets.end())
                retained.insert_or_assign(name, found->second);
            else if (!isFirstConfiguration)
                retained[name].beginSlowStart(now);
        }
    }
    this->targetHealth.targets = std::move(retained);
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
    for (auto const& [name, health] : this->targetHealth.targets)
        result["targets"][name] = health.describe(now);
    result["services"] = Json::Value(Json::objectValue);
    for (auto const& [name, serviceStatistics] : this->statistics) {
        auto& service = result["services"][name];
        service["overloaded"] = now < serviceStatistics.overloadedUntil;
        if (auto const median = serviceStatistics.partLatency.quantile(0.5, now))
            service["medianPartMs"] = median->value;
    }
    result["rules"] = Json::Value(Json::objectValue);
    for (auto const& [name, statistics] : this->ruleStatistics)
        result["rules"][name]["extraLoadTokens"] = statistics.extraLoad.available();
    return result;
}

bool isExemptFromBudget(PartStatus status, TargetState state)
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
