#include "Base/Hash.h"
#include "Base/Json.h"
#include "Engine/ConfigurationState.h"
#include "Engine/DispatcherAssignment.h"

#include <cmath>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static ConfigurationUpdate createUpdate(uint64_t version, size_t nodes)
{
    Json::Value document = parseJson(R"({
        "fleet": {"nodes": {}}, "classes": ["interactive"],
        "rules": {"rule": {"priority": "interactive", "deadlineMs": 59}}, "services": {}})");
    for (size_t index = 0; index < nodes; ++index)
        document["fleet"]["nodes"]["n" + std::to_string(index)]["failureDomain"] = "d";
    // One part that each version changes.
    document["rules"]["rule"]["deadlineMs"] = static_cast<Json::UInt64>(100 + version);
    ConfigurationUpdate update;
    update.root.version = version;
    update.root.changeId = "change-" + std::to_string(version);
    for (auto const& [name, text] : splitDocument(document)) {
        std::string const hash = contentHash(text);
        update.root.parts[name] = hash;
        update.parts[hash] = text;
    }
    return update;
}

/// Configuration states of a fleet on simulated time, with messages that take 2 ms and can be lost.
class ConfigurationFleet {
public:
    explicit ConfigurationFleet(size_t size)
    {
        for (size_t index = 0; index < size; ++index)
            this->addNode("n" + std::to_string(index));
    }

    struct Node {
        std::unique_ptr<ConfigurationState> state;
        bool watching { false };
        bool alive { true };
        size_t storeReads { 0 };
        std::vector<uint64_t> installed;
    };

    void run(Milliseconds duration)
    {
        Milliseconds const end = this->now + duration;
        while (this->now < end) {
            this->now += 1_ms;
            this->deliver();
            if (std::fmod(this->now.value, 500) == 0)
                this->answerProbes();
            for (auto& [name, node] : this->nodes) {
                if (node.alive && node.state->nextWakeup() <= this->now)
                    node.state->advance(this->now);
            }
        }
    }

    void kill(std::string const& name)
    {
        this->nodes.at(name).alive = false;
        for (auto& [other, node] : this->nodes) {
            if (node.alive)
                node.state->onMembershipChanged(this->now);
        }
    }

    size_t countAt(uint64_t version) const
    {
        size_t count = 0;
        for (auto const& [name, node] : this->nodes)
            count += node.state->version() == version;
        return count;
    }

    std::set<std::string> watchers() const
    {
        std::set<std::string> names;
        for (auto const& [name, node] : this->nodes) {
            if (node.alive && node.watching)
                names.insert(name);
        }
        return names;
    }

    Milliseconds now;
    std::map<std::string, Node> nodes;
    /// Messages sent while this is true are lost.
    bool lossy { false };
    /// What a read of the store finds; empty during an outage.
    std::optional<ConfigurationUpdate> stored;
    size_t digests { 0 };

private:
    void addNode(std::string const& name)
    {
        ConfigurationState::Hooks hooks;
        hooks.installed
            = [this, name](ConfigurationPointer const& next) { this->nodes[name].installed.push_back(next->version); };
        hooks.sendDigests = [this, name](size_t count) {
            for (size_t sent = 0; sent < count; ++sent)
                this->sendDigest(name, this->randomPeer(name));
        };
        hooks.sendDigest = [this, name](std::string const& peer) { this->sendDigest(name, peer); };
        hooks.fetch = [this, name](std::string const& peer, std::vector<std::string> const& known) {
            this->send(peer, [this, name, peer, known] {
                ConfigurationUpdate const answer = this->nodes[peer].state->answerFetch(known);
                this->send(name, [this, name, answer] {
                    this->nodes[name].state->onUpdate(ConfigurationUpdate(answer), this->now);
                });
            });
        };
        hooks.readStore = [this, name](std::vector<std::string> const&) {
            ++this->nodes[name].storeReads;
            this->schedule(name, [this, name] {
                if (this->stored)
                    this->nodes[name].state->onUpdate(ConfigurationUpdate(*this->stored), this->now);
                this->nodes[name].state->onStoreRead(this->stored.has_value(), this->now);
            });
        };
        hooks.setWatching = [this, name](bool watching) { this->nodes[name].watching = watching; };
        hooks.isUsable = [this](std::string const& other) { return this->nodes.at(other).alive; };
        this->nodes[name].state = std::make_unique<ConfigurationState>(hooks, name);
    }

    /// Each node probes one random peer every 500 ms, and receives an answer when that peer is alive.
    void answerProbes()
    {
        for (auto& [name, node] : this->nodes) {
            std::string const peer = this->randomPeer(name);
            if (!peer.empty() && this->nodes[peer].alive)
                this->send(name, [this, receiver = &node] { receiver->state->onPeerMessage(this->now); });
        }
    }

    /// Empty when there is no other node.
    std::string randomPeer(std::string const& self)
    {
        if (this->nodes.size() == 1)
            return {};
        std::string peer;
        do
            peer = "n" + std::to_string(this->generator() % this->nodes.size());
        while (peer == self);
        return peer;
    }

    void sendDigest(std::string const& from, std::string const& to)
    {
        if (to.empty())
            return;
        ++this->digests;
        uint64_t const version = this->nodes[from].state->version();
        this->send(to, [this, from, to, version] { this->nodes[to].state->onPeerVersion(from, version, this->now); });
    }

    void send(std::string const& to, std::function<void()>&& effect)
    {
        if (!this->lossy)
            this->schedule(to, std::move(effect));
    }

    void schedule(std::string const& to, std::function<void()>&& effect)
    {
        this->messages.emplace(this->now + 2_ms, std::pair(to, std::move(effect)));
    }

    void deliver()
    {
        while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
            auto const [to, effect] = this->messages.begin()->second;
            this->messages.erase(this->messages.begin());
            if (this->nodes[to].alive)
                effect();
        }
    }

    std::mt19937 generator { 7 };
    std::multimap<Milliseconds, std::pair<std::string, std::function<void()>>> messages;
};

TEST_GROUP(ConfigurationState) {};

// Guards against a delayed answer that reverts the configuration to an older version.
TEST(ConfigurationState, VersionsOutOfOrderNeverRevert)
{
    ConfigurationFleet fleet(2);
    auto& state = *fleet.nodes["n0"].state;
    state.onUpdate(createUpdate(3, 2), fleet.now);
    state.onUpdate(createUpdate(2, 2), fleet.now);
    state.onUpdate(createUpdate(3, 2), fleet.now);
    state.onUpdate(createUpdate(5, 2), fleet.now);
    state.onUpdate(createUpdate(4, 2), fleet.now);
    CHECK_EQUAL(5, state.version());
    CHECK_EQUAL(105, state.current()->rules.at("rule").deadline.value);
    CHECK((fleet.nodes["n0"].installed == std::vector<uint64_t> { 3, 5 }));
}

TEST(ConfigurationState, PushReachesAllNodesInAFractionOfASecond)
{
    for (size_t const size : { size_t { 7 }, size_t { 470 } }) {
        ConfigurationFleet fleet(size);
        fleet.stored = createUpdate(1, size);
        fleet.run(1000_ms);
        CHECK_EQUAL(size, fleet.countAt(1));
        fleet.nodes["n0"].state->onUpdate(createUpdate(2, size), fleet.now);
        fleet.run(1000_ms);
        CHECK_EQUAL(size, fleet.countAt(2));
    }
}

// Guards against a node that stays on an old version because the one push to it was lost.
TEST(ConfigurationState, LostPushIsRepairedByDigests)
{
    for (size_t const size : { size_t { 7 }, size_t { 470 } }) {
        ConfigurationFleet fleet(size);
        fleet.stored = createUpdate(1, size);
        fleet.run(1000_ms);
        fleet.lossy = true;
        fleet.nodes["n0"].state->onUpdate(createUpdate(2, size), fleet.now);
        fleet.run(20_ms);
        CHECK_EQUAL(1, fleet.countAt(2));
        fleet.lossy = false;
        fleet.run(3000_ms);
        CHECK_EQUAL(size, fleet.countAt(2));
    }
}

// Guards against fetching the full configuration for each change.
TEST(ConfigurationState, FetchReturnsOnlyTheChangedParts)
{
    ConfigurationFleet fleet(2);
    auto& newer = *fleet.nodes["n0"].state;
    newer.onUpdate(createUpdate(2, 2), fleet.now);
    std::vector<std::string> known;
    for (auto const& [hash, text] : createUpdate(1, 2).parts)
        known.push_back(hash);
    ConfigurationUpdate const answer = newer.answerFetch(known);
    CHECK_EQUAL(1, answer.parts.size());
    CHECK_EQUAL(2, answer.root.version);
    auto& older = *fleet.nodes["n1"].state;
    older.onUpdate(createUpdate(1, 2), fleet.now);
    older.onUpdate(ConfigurationUpdate(answer), fleet.now);
    CHECK_EQUAL(2, older.version());
}

// Guards against installing a version of which a part is missing or damaged.
TEST(ConfigurationState, IncompleteOrDamagedUpdateIsNotInstalled)
{
    ConfigurationFleet fleet(2);
    auto& state = *fleet.nodes["n0"].state;
    state.onUpdate(createUpdate(1, 2), fleet.now);
    ConfigurationUpdate damaged = createUpdate(2, 2);
    damaged.parts[damaged.root.parts["rules"]] += " ";
    state.onUpdate(std::move(damaged), fleet.now);
    ConfigurationUpdate incomplete = createUpdate(3, 2);
    incomplete.parts.erase(incomplete.root.parts["rules"]);
    state.onUpdate(std::move(incomplete), fleet.now);
    CHECK_EQUAL(1, state.version());
    CHECK_EQUAL(101, state.current()->rules.at("rule").deadline.value);
    state.onUpdate(createUpdate(3, 2), fleet.now);
    CHECK_EQUAL(3, state.version());
}

// Guards against a fleet that no longer notices changes in the store because its watchers have failed.
TEST(ConfigurationState, OtherNodesBecomeWatchersWhenWatchersFail)
{
    ConfigurationFleet fleet(7);
    fleet.stored = createUpdate(1, 7);
    fleet.run(1000_ms);
    auto const first = fleet.watchers();
    CHECK_EQUAL(2, first.size());
    for (auto const& name : first)
        fleet.kill(name);
    auto const second = fleet.watchers();
    CHECK_EQUAL(2, second.size());
    for (auto const& name : second)
        CHECK(!first.contains(name));
}

TEST(ConfigurationState, WatcherStopsWhenAPreferredOneRecovers)
{
    ConfigurationFleet fleet(7);
    fleet.stored = createUpdate(1, 7);
    fleet.run(1000_ms);
    auto const first = fleet.watchers();
    fleet.kill(*first.begin());
    CHECK_EQUAL(2, fleet.watchers().size());
    fleet.nodes.at(*first.begin()).alive = true;
    for (auto& [name, node] : fleet.nodes)
        node.state->onMembershipChanged(fleet.now);
    CHECK(first == fleet.watchers());
}

TEST(ConfigurationState, ReadyNeedsAConfigurationAndContactWithStoreOrPeer)
{
    ConfigurationFleet fleet(1);
    auto& state = *fleet.nodes["n0"].state;
    fleet.run(2000_ms);
    CHECK(!state.ready(fleet.now));
    fleet.stored = createUpdate(1, 1);
    fleet.run(2000_ms);
    CHECK(state.ready(fleet.now));
    // A single node has no peers; its reads of the store keep it ready.
    fleet.run(10000_ms);
    CHECK(state.ready(fleet.now));
    fleet.stored.reset();
    fleet.run(2000_ms);
    CHECK(state.ready(fleet.now));
    fleet.run(2500_ms);
    CHECK(!state.ready(fleet.now));
    state.onPeerMessage(fleet.now);
    CHECK(state.ready(fleet.now));
}

// Guards against a fleet that becomes not ready because the store is down, although its nodes reach each other.
TEST(ConfigurationState, StoreOutageDoesNotEndReadinessWhilePeersAnswer)
{
    ConfigurationFleet fleet(7);
    fleet.stored = createUpdate(1, 7);
    fleet.run(1000_ms);
    fleet.stored.reset();
    for (size_t second = 0; second < 60; ++second) {
        fleet.run(1000_ms);
        for (auto const& [name, node] : fleet.nodes)
            CHECK(node.state->ready(fleet.now));
    }
}

// Guards against store calls that grow with the fleet.
TEST(ConfigurationState, PeriodicStoreReadsDoNotGrowWithTheFleet)
{
    for (size_t const size : { size_t { 7 }, size_t { 70 } }) {
        ConfigurationFleet fleet(size);
        fleet.stored = createUpdate(1, size);
        fleet.run(1000_ms);
        size_t before = 0;
        for (auto const& [name, node] : fleet.nodes)
            before += node.storeReads;
        fleet.run(300000_ms);
        size_t after = 0;
        for (auto const& [name, node] : fleet.nodes)
            after += node.storeReads;
        // 7 reads in each 30 s give 70 in five minutes.
        CHECK(after - before >= 35);
        CHECK(after - before <= 105);
    }
}

// Guards against digests that grow with the fleet.
TEST(ConfigurationState, EachNodeSendsTwoDigestsInEachInterval)
{
    ConfigurationFleet fleet(70);
    fleet.stored = createUpdate(1, 70);
    fleet.run(2000_ms);
    fleet.digests = 0;
    fleet.run(10000_ms);
    CHECK(fleet.digests <= size_t { 70 } * 2 * 20);
    CHECK(fleet.digests >= size_t { 70 } * 2 * 18);
}
