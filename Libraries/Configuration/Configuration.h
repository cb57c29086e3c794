#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Toucan {

enum class Routing {
    /// Parts go to the target's dispatcher, the node that holds the connections to the target.
    Dispatched,
    /// Each node of the roster connects to every target itself; the baseline for measurements.
    Direct,
};
enum class ReplicaChoice {
    LoadAware,
    Random,
};
/// Turns one mechanism of a rule on or off; off is for baselines and for tests of the mechanism's effect.
enum class Feature {
    On,
    Off,
};
enum class TargetIntent {
    Serving,
    Draining,
};

struct NodeDefinition {
    std::string name;
    std::string failureDomain;

    bool operator==(NodeDefinition const&) const = default;
};

struct FleetDefinition {
    std::map<std::string, NodeDefinition> nodes;
    uint32_t dispatchersPerTarget { 3 };
    Routing routing { Routing::Dispatched };
    uint32_t watchers { 2 };
    uint32_t keyRanges { 16 };

    bool operator==(FleetDefinition const&) const = default;
};

/// Service-level objective: the share `ratio` of the requests gets a complete answer within `latency`.
struct Objective {
    Milliseconds latency { 59 };
    double ratio { 0.99 };
};

struct Rule {
    std::string name;
    /// Name of a priority class.
    std::string priority;
    Milliseconds deadline { 59 };
    /// Minimum share of the shards, 0 to 1, that a partial answer must cover.
    double minimumCoverage { 1.0 };
    Feature hedge { Feature::On };
    /// A hedge is sent after this quantile, 0 to 1, of the part latency.
    double hedgeQuantile { 0.95 };
    /// Maximum number of hedges and retries per first attempt.
    double extraLoadBudget { 0.05 };
    ReplicaChoice replicaChoice { ReplicaChoice::LoadAware };
    /// Maximum number of parts queued for one target.
    uint32_t queueLimit { 64 };
    Feature ejection { Feature::On };
    /// Slot limit, priority queue and early rejection at the dispatcher.
    Feature limits { Feature::On };
    /// Deduplication of commands by request key; off only in tests.
    Feature atMostOnce { Feature::On };
    /// Check of the snapshot, shard and ids echoed by the target; off only in tests.
    Feature echoCheck { Feature::On };
    Objective objective;
};

struct TargetDefinition {
    std::string name;
    /// IP address and port, as in "127.0.0.1:9001".
    std::string address;
    std::string failureDomain;
    uint32_t slots { 1 };
    /// Maximum number of connections that the target accepts from all nodes together.
    uint32_t connections { 1 };
    TargetIntent intent { TargetIntent::Serving };
};

struct SnapshotDefinition {
    std::string id;
    /// The newest snapshot has the highest sequence.
    uint64_t sequence { 0 };
    /// Names of the targets that hold each shard, by shard index.
    std::vector<std::vector<std::string>> shards;
};

struct ServiceDefinition {
    std::string name;
    std::string rule;
    std::map<std::string, TargetDefinition> targets;
    /// Newest first.
    std::vector<SnapshotDefinition> snapshots;
};

/// One accepted version of the operators' configuration. Immutable; shared between threads.
struct Configuration {
    uint64_t version { 0 };
    std::string changeId;
    FleetDefinition fleet;
    /// Priority classes, most urgent first.
    std::vector<std::string> classes;
    std::map<std::string, Rule> rules;
    std::map<std::string, ServiceDefinition> services;

    /// Null when the service is unknown.
    ServiceDefinition const* service(std::string const& name) const
    {
        auto const found = this->services.find(name);
        return found == this->services.end() ? nullptr : &found->second;
    }
    /// Validated documents always contain the rule of a service.
    Rule const& ruleOf(ServiceDefinition const& service) const { return this->rules.at(service.rule); }
    /// Index of a priority class, 0 for the most urgent; the last class if the name is unknown.
    uint32_t classIndex(std::string_view name) const
    {
        for (uint32_t index = 0; index < this->classes.size(); ++index) {
            if (this->classes[index] == name)
                return index;
        }
        return this->classes.empty() ? 0 : static_cast<uint32_t>(this->classes.size() - 1);
    }
};

using ConfigurationPointer = std::shared_ptr<Configuration const>;

} // namespace Toucan
