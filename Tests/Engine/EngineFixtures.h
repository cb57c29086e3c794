#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Messages.h"

#include <initializer_list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Toucan {

/// Configuration with one node "n1", one service "s" with the rule "r", and the classes urgent, interactive and
/// background.
struct TestConfiguration {
    Configuration value;

    explicit TestConfiguration(size_t targetCount = 3)
    {
        this->value.version = 1;
        this->value.classes = { "urgent", "interactive", "background" };
        this->value.fleet.nodes["n1"] = { "n1", "d1" };
        Rule rule;
        rule.name = "r";
        rule.priority = "interactive";
        this->value.rules["r"] = rule;
        this->value.services["s"] = { "s", "r", {}, {} };
        for (size_t index = 0; index < targetCount; ++index)
            this->addTarget(std::string(1, static_cast<char>('a' + index)));
    }

    Rule& rule() { return this->value.rules["r"]; }
    ServiceDefinition& service() { return this->value.services["s"]; }
    TargetDefinition& target(std::string const& name) { return this->service().targets[name]; }

    void addTarget(std::string const& name)
    {
        this->service().targets[name] = { name, "127.0.0.1:9001", "d1", 2, 25, TargetIntent::Serving };
    }
    void addSnapshot(std::string const& id, uint64_t sequence, std::vector<std::vector<std::string>> shards)
    {
        auto& snapshots = this->service().snapshots;
        snapshots.insert(snapshots.begin(), { id, sequence, std::move(shards) });
    }
    ConfigurationPointer pointer() const { return std::make_shared<Configuration const>(this->value); }
};

inline CallerRequest makeQuery(RequestHandle handle, Milliseconds now)
{
    CallerRequest request;
    request.handle = handle;
    request.requestId = "q" + std::to_string(handle);
    request.service = "s";
    request.received = now;
    request.body = std::make_shared<std::string const>("{}");
    return request;
}

inline Json::Value makeHit(std::string const& id, double score)
{
    Json::Value hit(Json::objectValue);
    hit["id"] = id;
    hit["score"] = score;
    return hit;
}

/// Result as a dispatcher reports it for the part, with one hit that names the shard.
inline PartResult makeResult(PartRequest const& part, PartStatus status = PartStatus::Complete)
{
    PartResult result;
    result.attempt = part.attempt;
    result.target = part.target;
    result.status = status;
    result.requestId = part.requestId;
    result.snapshot = part.snapshot;
    result.shard = part.shard;
    result.serviceTime = 2_ms;
    if (status == PartStatus::Complete)
        result.hits.append(makeHit(part.snapshot + "-" + std::to_string(part.shard), part.shard));
    return result;
}

} // namespace Toucan
