#include "EngineFleet.h"

#include "Base/Hash.h"
#include "Engine/FrameCodec.h"

#include <random>

namespace Toucan {

static constexpr uint32_t failureDomainCount = 7;
static constexpr uint32_t keyRanges = 16;
/// Unix time in milliseconds at which the simulated fleet starts; incarnations count up from it.
static constexpr uint64_t firstIncarnation = 1'790'000'000'000;
static constexpr uint32_t largeServiceCount = 2;
static constexpr uint32_t targetsPerSmallService = 3;

std::string nodeName(uint32_t index) { return "entry-" + std::to_string(index + 1); }
std::string failureDomainOf(uint32_t index) { return "domain-" + std::to_string(index % failureDomainCount + 1); }

static Peer peerAt(uint32_t index)
{
    auto const address
        = "10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250 + 1) + std::string(":7000");
    return { nodeName(index), address, failureDomainOf(index), firstIncarnation + index, PeerState::Alive };
}

static std::vector<Peer> seedsFor(FleetSize const& size, uint32_t self)
{
    std::vector<Peer> peers;
    for (uint32_t index = 0; index < size.nodes; ++index) {
        if (index != self)
            peers.push_back(peerAt(index));
    }
    return peers;
}

static Json::Value ruleDocument()
{
    Json::Value rule;
    rule["priority"] = "interactive";
    rule["deadlineMs"] = 1000;
    return rule;
}

/// Each target holds its own shard and the one before, so that each shard has two replicas. `number` counts the targets
/// of all services; addresses and failure domains follow from it.
static Json::Value serviceDocument(std::string const& name, uint32_t targets, uint32_t& number)
{
    Json::Value service;
    service["rule"] = "parents";
    Json::Value shards(Json::arrayValue);
    for (uint32_t index = 0; index < targets; ++index, ++number) {
        auto& target = service["targets"][name + "-t" + std::to_string(index + 1)];
        target["address"]
            = "10.1." + std::to_string(number / 250) + '.' + std::to_string(number % 250 + 1) + std::string(":9000");
        target["failureDomain"] = failureDomainOf(number);
        target["slots"] = 24;
        target["connections"] = 100;
        Json::Value replicas(Json::arrayValue);
        replicas.append(name + "-t" + std::to_string(index + 1));
        replicas.append(name + "-t" + std::to_string((index + 1) % targets + 1));
        shards.append(std::move(replicas));
    }
    auto& snapshot = service["snapshots"]["s1"];
    snapshot["sequence"] = 1;
    snapshot["shards"] = std::move(shards);
    return service;
}

Json::Value fleetDocument(FleetSize const& size)
{
    Json::Value document;
    auto& fleet = document["fleet"];
    for (uint32_t index = 0; index < size.nodes; ++index)
        fleet["nodes"][nodeName(index)]["failureDomain"] = failureDomainOf(index);
    fleet["carriersPerTarget"] = 3;
    fleet["routing"] = "carried";
    fleet["watchers"] = 2;
    fleet["keyRanges"] = keyRanges;
    for (auto const* name : { "urgent", "interactive", "background" })
        document["classes"].append(name);
    document["rules"]["parents"] = ruleDocument();
    uint32_t number = 0;
    for (uint32_t index = 0; index < largeServiceCount; ++index) {
        auto const name = "large-" + std::to_string(index + 1);
        document["services"][name] = serviceDocument(name, size.targetsPerQuery, number);
    }
    for (uint32_t index = 1; number < size.targets; ++index) {
        auto const name = "small-" + std::to_string(index);
        document["services"][name] = serviceDocument(name, targetsPerSmallService, number);
    }
    return document;
}

ConfigurationUpdate createConfigurationUpdate(Json::Value const& document, uint64_t version)
{
    ConfigurationUpdate update;
    update.root.version = version;
    update.root.changeId = "0190a000-0000-7000-8000-" + std::to_string(100'000'000'000 + version);
    update.root.author = "operator";
    update.root.time = { 1'790'000'000'000 };
    for (auto& [name, text] : splitDocument(document)) {
        auto const hash = contentHash(text);
        update.root.parts[name] = hash;
        update.parts[hash] = std::move(text);
    }
    return update;
}

NodeEngine::Hooks CollectingNode::hooks()
{
    NodeEngine::Hooks result;
    result.sendFrame = [this](std::string const& peer, std::string const&, Json::Value&& frame) {
        this->frames.emplace_back(peer, std::move(frame));
    };
    result.callTarget = [this](TargetCall const& call) { this->calls.push_back(call); };
    result.cancelTargetCall = [](AttemptId const&, std::string const&) {};
    result.pollTarget = [](std::string const&, std::string const&) {};
    result.answerCaller = [this](CallerAnswer&& answer) {
        ++this->answers;
        this->completeAnswers += answer.status == 200 && answer.coverage.isComplete() ? 1 : 0;
    };
    result.requestStore = [](StoreRequest&&) {};
    result.setWatching = [](bool) {};
    result.random
        = [generator = std::mt19937_64(1), distribution = std::uniform_real_distribution<double>()]() mutable {
              return distribution(generator);
          };
    result.wallClock = [this] { return Milliseconds { 1'790'000'000'000 } + this->now; };
    return result;
}

CollectingNode::CollectingNode(FleetSize const& size, uint32_t index)
    : core(this->hooks(), { nodeName(index), failureDomainOf(index), peerAt(index).address, peerAt(index).incarnation },
        seedsFor(size, index), this->now)
{
}

void CollectingNode::receiveDigests(FleetSize const& size)
{
    for (auto const& peer : seedsFor(size, size.nodes)) {
        if (peer.name == this->core.identity.name)
            continue;
        Json::Value frame;
        frame["kind"] = "digest";
        frame["from"] = peer.name;
        frame["self"] = FrameCodec::encodePeer(peer);
        frame["version"] = static_cast<Json::UInt64>(this->core.configurationState.version());
        this->core.onFrame(frame, this->now);
        this->core.finishEvent(this->now);
    }
    this->frames.clear();
}

void CollectingNode::receiveOwnershipRecords(FleetSize const& size)
{
    auto const wallClock = static_cast<uint64_t>(this->core.hooks.wallClock().value);
    for (uint32_t range = 0; range < keyRanges; ++range) {
        auto const owner = 2 + range % (size.nodes - 2);
        this->core.keyOwner.onRecord(
            { range, nodeName(owner), firstIncarnation + owner, wallClock - 60'000, wallClock + 30'000, 100 + range },
            this->now);
    }
}

} // namespace Toucan
