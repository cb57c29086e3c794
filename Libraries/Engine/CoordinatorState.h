#pragma once

#include "Engine/Coordinator.h"
#include "Engine/EjectionPolicy.h"
#include "Engine/Outbox.h"
#include "Engine/ReplicaSelector.h"
#include "Engine/ServiceStatistics.h"
#include "Engine/TargetHealthTable.h"

#include <string>
#include <unordered_map>

namespace Toucan {

/// One part request that was sent and has no result yet.
struct PendingAttempt {
    /// Number of the query or command.
    uint64_t runNumber { 0 };
    std::string requestId;
    std::string service;
    std::string target;
    std::string snapshot;
    uint32_t shard { 0 };
    Milliseconds sent;
    Idempotence idempotence { Idempotence::Idempotent };
};

struct CoordinatorCounters {
    uint64_t queries { 0 };
    uint64_t commands { 0 };
    uint64_t firstAttempts { 0 };
    uint64_t hedges { 0 };
    uint64_t retries { 0 };
    uint64_t restarts { 0 };
    uint64_t lateResults { 0 };
    uint64_t mismatches { 0 };
    uint64_t truncated { 0 };
    uint64_t ejections { 0 };
    uint64_t partialAnswers { 0 };
    uint64_t errors { 0 };
};

/// State that QueryRunner and CommandRunner share.
struct CoordinatorState {
    CoordinatorState(Coordinator::Hooks hooks, std::string attemptPrefix);

    /// Keeps the health and statistics of targets and services that both configurations contain.
    void setConfiguration(ConfigurationPointer next, Milliseconds now);
    Json::Value describe(Milliseconds now);
    ServiceStatistics& statisticsOf(std::string const& service) { return this->statistics[service]; }
    RuleStatistics& statisticsOf(Rule const& rule) { return this->ruleStatistics[rule.name]; }
    /// Median part latency of the service, or a small default while it is unknown.
    Milliseconds medianLatency(std::string const& service, Milliseconds now);
    /// Delay after which a part is hedged; empty while there are too few samples. A service with few recent parts on
    /// this node uses the latencies of all services under its rule, because a tail quantile of few samples often
    /// reflects a single slow replica.
    std::optional<Milliseconds> hedgeDelay(std::string const& service, Rule const& rule, Milliseconds now);
    bool isOverloaded(std::string const& service, Rule const& rule, Milliseconds now);

    /// Registers the attempt, copies its fields to the part request and posts the request. The caller sets the other
    /// fields, such as `part.remaining`.
    AttemptId send(PendingAttempt&& attempt, PartRequest&& part, Milliseconds now);
    /// Removes the attempt from the pending ones and sends a cancel to its dispatcher.
    void cancel(AttemptId const& attempt, Milliseconds now);
    /// Counts a failure of the target of a pending attempt.
    void addFailure(AttemptId const& attempt, Milliseconds now);
    /// Status of the result after comparing its echoed fields with the attempt.
    PartStatus checkEcho(PendingAttempt const& attempt, PartResult const& result, Rule const& rule);
    /// Updates target health, latencies and overload detection from a result.
    void observe(
        PendingAttempt const& attempt, PartResult const& result, PartStatus status, Rule const& rule, Milliseconds now);
    /// Ejects the target if its rule allows ejection and EjectionPolicy finds it unhealthy.
    void reviewEjection(std::string const& serviceName, std::string const& targetName, Milliseconds now);

    Coordinator::Hooks hooks;
    std::string attemptPrefix;
    uint64_t lastAttempt { 0 };
    uint64_t lastRunNumber { 0 };
    ConfigurationPointer configuration;
    Outbox outbox;
    TargetHealthTable targetHealth;
    ReplicaSelector selector;
    EjectionPolicy ejection;
    std::unordered_map<std::string, ServiceStatistics> statistics;
    std::unordered_map<std::string, RuleStatistics> ruleStatistics;
    std::unordered_map<AttemptId, PendingAttempt> attempts;
    CoordinatorCounters counters;
};

/// True when the failed attempt added no work at any target and overload did not cause the failure, so that the next
/// attempt needs no token of the extra-load budget.
bool isExemptFromBudget(PartStatus status, TargetState state);

} // namespace Toucan
