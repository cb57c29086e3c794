#include "Base/Base64.h"
#include "Base/Json.h"
#include "GatewayNode/RelayClient.h"
#include "GatewayNode/RelayServer.h"
#include "Net/HttpServer.h"
#include "platform/Documents.h"
#include "platform/StoreConnection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;
using namespace Toucan::Platform;

/// Each seed takes about 2 s: its history and the time until the nodes agree.
static constexpr unsigned long defaultSeeds = 6;
static constexpr unsigned eventsPerSeed = 60;
static constexpr size_t pageItems = 3;
static constexpr unsigned targetIndices = 12;
/// A stale page is at most this many revisions old.
static constexpr uint64_t maximumStaleRevisions = 6;
/// Time within which all nodes have the store's state after the last event: the longest retry delay, the time for which
/// a relay is avoided, and the time for which entries are kept after an outage.
static constexpr Milliseconds agreementTime { 8000 };

namespace {

/// The users' store: entries, their history, pages of different age, and failures.
class ModelStore {
public:
    ModelStore(EventLoop& loop, std::mt19937_64& engine)
        : loop(loop)
        , engine(engine)
        , servers { HttpServer(loop, "127.0.0.1:0", {}, this->createHooks(0)),
            HttpServer(loop, "127.0.0.1:0", {}, this->createHooks(1)) }
    {
        this->states[0] = {};
    }

    /// Address for one half of the nodes, 0 or 1.
    std::string address(size_t half) const { return this->servers.at(half).address().toString(); }
    std::map<std::string, Json::Value> const& items() const { return this->states.rbegin()->second; }

    void put(std::string const& key, std::string const& value)
    {
        Json::Value item;
        item["key"] = key;
        item["revision"] = Json::UInt64 { this->revision() + 1 };
        item["value"] = encodeBase64(value);
        auto next = this->items();
        next[key] = item;
        this->append(std::move(next), item);
    }
    void remove(std::string const& key)
    {
        Json::Value tombstone;
        tombstone["key"] = key;
        tombstone["revision"] = Json::UInt64 { this->revision() + 1 };
        tombstone["tombstone"] = true;
        auto next = this->items();
        next.erase(key);
        this->append(std::move(next), tombstone);
    }
    void compact() { this->oldestKnown = this->revision(); }

    /// Returns to an older copy; what was written since is gone, and revisions are issued again.
    void restore(uint64_t lostRevisions)
    {
        auto const revision = this->revision() - std::min(this->revision(), lostRevisions);
        this->formerState = this->items();
        this->formerRevision = this->revision();
        this->states.erase(this->states.upper_bound(revision), this->states.end());
        this->events.erase(this->events.upper_bound(revision), this->events.end());
        this->oldestKnown = std::min(this->oldestKnown, revision);
        ++this->era;
    }

    /// Whether each half of the nodes is refused.
    std::array<bool, 2> refuses {};

private:
    uint64_t revision() const { return this->states.rbegin()->first; }

    void append(std::map<std::string, Json::Value>&& next, Json::Value const& event)
    {
        auto const revision = this->revision() + 1;
        this->states[revision] = std::move(next);
        this->events[revision] = event;
    }

    HttpServerSession::Hooks createHooks(size_t half)
    {
        HttpServerSession::Hooks hooks;
        hooks.request = [this, half](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
            std::map<std::string, std::string> query;
            Poco::URI const uri(request.head.getURI());
            for (auto const& [name, value] : uri.getQueryParameters())
                query[name] = value;
            if (this->refuses.at(half))
                answer(session, 503, {}, this->era);
            else if (uri.getPath() == "/api/kv-range")
                this->answerPage(session, query);
            else
                this->watch({ session, half, std::stoull(query["after"]),
                    Clock::now() + Milliseconds { std::stod(query["wait_ms"]) } });
        };
        return hooks;
    }

    static void answer(
        HttpServerSession::Pointer const& session, int status, Json::Value const& body, uint64_t answerEra)
    {
        Poco::Net::HTTPResponse head(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        if (answerEra)
            head.set("Store-Era", std::to_string(answerEra));
        session->respond(head, writeJson(body));
    }

    void answerPage(HttpServerSession::Pointer const& session, std::map<std::string, std::string>& query)
    {
        bool const isStale = query["allow_stale"] == "1";
        // A stale page may be of the era before.
        if (isStale && this->era > 0 && this->engine() % 4 == 0)
            answer(session, 200, page(this->formerState, this->formerRevision, query["after"]), this->era - 1);
        else
            answer(session, 200, this->page(query), this->era);
    }

    Json::Value page(std::map<std::string, std::string>& query)
    {
        auto revision = this->revision();
        if (query["allow_stale"] == "1")
            revision
                -= std::uniform_int_distribution<uint64_t>(0, std::min(revision, maximumStaleRevisions))(this->engine);
        return page(this->states.at(revision), revision, query["after"]);
    }

    static Json::Value page(
        std::map<std::string, Json::Value> const& state, uint64_t revision, std::string const& after)
    {
        Json::Value body;
        body["as_of"] = Json::UInt64 { revision };
        body["items"] = Json::arrayValue;
        auto next = state.upper_bound(after);
        for (; next != state.end() && body["items"].size() < pageItems; ++next)
            body["items"].append(next->second);
        body["more_pages"] = next != state.end();
        return body;
    }

    struct Watch {
        HttpServerSession::Pointer session;
        size_t half { 0 };
        uint64_t after { 0 };
        Milliseconds end;
    };

    void watch(Watch const& call)
    {
        auto const& [session, half, after, end] = call;
        if (!session->isRunning())
            return;
        if (this->refuses.at(half) || after < this->oldestKnown || after > this->revision()) {
            answer(session, this->refuses.at(half) ? 503 : 410, {}, this->era);
            return;
        }
        auto const first = this->events.upper_bound(after);
        if (first == this->events.end() && Clock::now() < end) {
            this->loop.schedule(Clock::now() + Milliseconds { 5 }, [this, call] { this->watch(call); });
            return;
        }
        Json::Value body;
        body["as_of"] = Json::UInt64 { this->revision() };
        body["events"] = Json::arrayValue;
        for (auto event = first; event != this->events.end(); ++event)
            body["events"].append(event->second);
        answer(session, 200, body, this->era);
    }

    EventLoop& loop;
    std::mt19937_64& engine;
    /// All entries by revision.
    std::map<uint64_t, std::map<std::string, Json::Value>> states;
    std::map<uint64_t, Json::Value> events;
    uint64_t oldestKnown { 0 };
    uint64_t era { 0 };
    /// What the store held before the last restoration.
    std::map<std::string, Json::Value> formerState;
    uint64_t formerRevision { 0 };
    std::array<HttpServer, 2> servers;
};

/// Registry part of a gateway node. A node that has ended stays in memory, because the loop holds its timers.
class RegistryNode {
public:
    RegistryNode(EventLoop& loop, std::mt19937_64& engine, std::string const& storeAddress,
        std::vector<std::string> const& relays, std::string const& ownRelay)
        : loop(loop)
        , engine(engine)
        , gateway({ .failureDomain = "a" }, this->createHooks())
        , store(std::make_unique<StoreConnection>(loop, storeAddress))
        , client(std::make_unique<RelayClient>(loop, [](std::string const& source) { return readItem(source); }))
        , sync(this->gateway, { relays, ownRelay }, this->createRegistryHooks())
    {
        if (!ownRelay.empty())
            this->server = std::make_unique<RelayServer>(loop, ownRelay, this->sync,
                RelayServer::Hooks { compactItem, [](std::span<TargetObservation const>) {} });
        this->sync.start();
    }

    void end()
    {
        this->alive = false;
        this->server.reset();
        this->client.reset();
        this->store.reset();
    }

    /// Whether the configuration in force has gone back to an older version.
    bool wentBack()
    {
        auto const former = std::exchange(this->newestVersion, std::max(this->newestVersion, this->gateway.version()));
        return this->gateway.version() < former;
    }

    /// Difference between this node's targets and the entries; empty when there is none.
    std::string difference(std::map<std::string, Json::Value> const& items)
    {
        size_t targets = 0;
        for (auto const& [key, item] : items) {
            if (key == "op/config") {
                auto const version = readConfiguration(decodeBase64(item["value"].asString())).version;
                if (this->gateway.version() != version)
                    return "version " + std::to_string(this->gateway.version());
                continue;
            }
            ++targets;
            auto const id = key.substr(std::string("servers/").size());
            auto const present = this->gateway.sharedContext().directory.find(id);
            auto const wanted = readRegistration(id, decodeBase64(item["value"].asString()));
            if (!present)
                return "no " + id;
            if (!present->registration().hasSameContentAs(wanted))
                return "another state of " + id;
        }
        auto const size = this->gateway.sharedContext().directory.size();
        return size == targets ? "" : std::to_string(size) + " targets instead of " + std::to_string(targets);
    }

private:
    GatewayHooks createHooks()
    {
        GatewayHooks hooks;
        hooks.now = [] { return Clock::now(); };
        hooks.random = [this] { return std::uniform_real_distribution<double>(0, 1)(this->engine); };
        hooks.log = [](std::string const&) {};
        hooks.schedule = [this](Milliseconds at, std::function<void()> task) -> Canceller {
            this->loop.schedule(at, [this, task = std::move(task)] {
                if (this->alive)
                    task();
            });
            return [] {};
        };
        return hooks;
    }

    RegistrySync::Hooks createRegistryHooks()
    {
        RegistrySync::Hooks hooks;
        hooks.list = [this](RegistrySync::Freshness freshness, std::function<void(RegistryReply &&)> done) {
            if (this->alive)
                this->store->list(freshness, std::move(done));
        };
        hooks.watch = [this](RegistryPosition position, Milliseconds wait, std::function<void(RegistryReply &&)> done) {
            if (this->alive)
                this->store->watch(position.revision, wait, std::move(done));
        };
        hooks.follow
            = [this](std::string const& relay, RelayRequest request, std::function<void(RelayUpdate &&)> done) {
                  if (this->alive)
                      this->client->follow(relay, std::move(request), std::move(done));
              };
        hooks.copy = [this](std::string const& relay, std::function<void(RelayUpdate &&)> done) {
            if (this->alive)
                this->client->copy(relay, std::move(done));
        };
        return hooks;
    }

    bool alive { true };
    uint64_t newestVersion { 0 };
    EventLoop& loop;
    std::mt19937_64& engine;
    Gateway gateway;
    std::unique_ptr<StoreConnection> store;
    std::unique_ptr<RelayClient> client;
    RegistrySync sync;
    std::unique_ptr<RelayServer> server;
};

std::string freeAddress()
{
    Poco::Net::ServerSocket const socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

/// Plays a seeded history; returns a description when the nodes don't agree with the store afterwards.
class History {
public:
    explicit History(unsigned long seed)
        : engine(seed)
        , store(this->loop, this->engine)
        , relays { freeAddress(), freeAddress() }
    {
        this->writeConfiguration();
        for (unsigned index = 0; index < 8; ++index)
            this->writeTarget(index);
        for (size_t index = 0; index < 4; ++index)
            this->startNode(index);
    }
    ~History()
    {
        for (auto const& node : this->nodes)
            node->end();
    }

    std::string play()
    {
        this->run(Milliseconds { 200 });
        for (unsigned event = 0; event < eventsPerSeed; ++event) {
            this->playOne();
            for (size_t index = 0; index < this->nodes.size(); ++index) {
                if (this->nodes[index]->wentBack())
                    return "node " + std::to_string(index) + " went back to an older configuration";
            }
        }
        while (!this->lost.empty())
            this->rewrite();
        this->store.refuses = {};
        // No later change repairs what the first reads of these nodes lack.
        for (size_t index = this->relays.size(); index < this->nodes.size(); ++index) {
            this->nodes[index]->end();
            this->startNode(index);
        }
        auto const end = Clock::now() + agreementTime;
        std::string difference;
        do {
            this->run(Milliseconds { 20 });
            difference.clear();
            for (size_t index = 0; index < this->nodes.size(); ++index) {
                if (auto const found = this->nodes[index]->difference(this->store.items()); !found.empty())
                    difference += "node " + std::to_string(index) + ": " + found + "; ";
            }
        } while (!difference.empty() && Clock::now() < end);
        return difference;
    }

private:
    unsigned below(unsigned end) { return std::uniform_int_distribution<unsigned>(0, end - 1)(this->engine); }

    void run(Milliseconds duration)
    {
        auto const end = Clock::now() + duration;
        while (Clock::now() < end)
            this->loop.runOnce(Milliseconds { 1 });
    }

    void writeConfiguration()
    {
        this->version += 1 + this->below(3);
        this->putConfiguration();
    }
    void putConfiguration()
    {
        this->store.put(
            "op/config", R"({"version":)" + std::to_string(this->version) + R"(,"routes":[],"services":[]})");
    }
    void writeTarget(unsigned index) { this->putTarget(index, this->below(4) ? "ready" : "draining"); }
    void putTarget(unsigned index, std::string const& state)
    {
        ++this->sequence;
        this->states[index] = state;
        this->store.put("servers/i-" + std::to_string(index),
            R"({"service":"s","addr":"10.0.0.1:80","zone":"a","version":"v","slots":2,"state":")" + std::string(state)
                + R"(","warmup_left_ms":0,"seq":)" + std::to_string(this->sequence) + R"(,"born":)"
                + std::to_string(this->sequence / 20 + 1) + "}");
    }
    void removeTarget(unsigned index)
    {
        this->states.erase(index);
        this->store.remove("servers/i-" + std::to_string(index));
    }

    /// The operator, a target or a lease that has ended repairs one entry that a restoration has changed.
    void rewrite()
    {
        auto const index = this->lost.back();
        this->lost.pop_back();
        if (index == targetIndices)
            this->putConfiguration();
        else if (this->states.contains(index))
            this->putTarget(index, this->states[index]);
        else
            this->store.remove("servers/i-" + std::to_string(index));
    }
    void restore()
    {
        this->store.restore(this->below(12));
        this->lost.clear();
        for (unsigned index = 0; index <= targetIndices; ++index)
            this->lost.push_back(index);
        std::shuffle(this->lost.begin(), this->lost.end(), this->engine);
    }
    void startNode(size_t index)
    {
        auto node = std::make_unique<RegistryNode>(this->loop, this->engine, this->store.address(index % 2),
            this->relays, index < this->relays.size() ? this->relays[index] : "");
        if (index < this->nodes.size())
            this->ended.push_back(std::exchange(this->nodes[index], std::move(node)));
        else
            this->nodes.push_back(std::move(node));
    }

    void playOne()
    {
        for (unsigned entries = this->below(6); entries > 0 && !this->lost.empty(); --entries)
            this->rewrite();
        switch (this->below(14)) {
        case 0:
        case 1:
        case 2:
        case 3:
            this->writeTarget(this->below(targetIndices));
            break;
        case 4:
        case 5:
        case 6:
            this->removeTarget(this->below(targetIndices));
            break;
        case 7:
            this->writeConfiguration();
            break;
        case 8: {
            auto const index = this->below(static_cast<unsigned>(this->nodes.size()));
            this->nodes[index]->end();
            this->startNode(index);
            break;
        }
        case 9:
            if (this->below(4) == 0)
                this->store.compact();
            break;
        case 10:
            if (auto& refuses = this->store.refuses.at(this->below(2)); this->below(4) == 0)
                refuses = !refuses;
            break;
        case 11:
            if (this->below(2) == 0)
                break;
            this->restore();
            // Twice in a short time, before the nodes have read everything again.
            if (this->below(3) == 0) {
                this->run(Milliseconds { static_cast<double>(this->below(10)) });
                this->writeConfiguration();
                this->restore();
            }
            break;
        default:
            break;
        }
        this->run(Milliseconds { static_cast<double>(this->below(20)) });
    }

    EventLoop loop;
    std::mt19937_64 engine;
    ModelStore store;
    std::vector<std::string> relays;
    std::vector<std::unique_ptr<RegistryNode>> nodes;
    std::vector<std::unique_ptr<RegistryNode>> ended;
    uint64_t version { 0 };
    uint64_t sequence { 0 };
    /// State of each target that runs.
    std::map<unsigned, std::string> states;
    /// Entries to rewrite after a restoration: targets, and targetIndices for the configuration.
    std::vector<unsigned> lost;
};

} // namespace

TEST_GROUP(RegistryHistories) {};

// Guards against a node that misses a change for good: a removed target in use, a target or a configuration that it
// does not know, after restarts, stale pages of different age, lost histories, refusals of half of the nodes or all,
// relays that are behind, and restorations of the store from an older copy (between a read and the watch, and two in
// quick succession). Guards as well against a configuration that goes back to an older version.
TEST(RegistryHistories, EveryNodeGetsTheStateOfTheStore)
{
    auto const* const text = std::getenv("TOUCAN_HISTORY_SEEDS");
    auto const seeds = text ? std::stoul(text) : defaultSeeds;
    for (unsigned long seed = 1; seed <= seeds; ++seed) {
        auto const difference = History(seed).play();
        CHECK_TEXT(difference.empty(), ("seed " + std::to_string(seed) + ": " + difference).c_str());
    }
}

// Guards against a compressed answer that is kept after the relay has taken a newer configuration from another relay,
// which does not change its position.
TEST(RegistryHistories, KeptAnswersAreOfThePresentConfiguration)
{
    EventLoop loop;
    GatewayHooks hooks;
    hooks.now = [] { return Clock::now(); };
    hooks.log = [](std::string const&) {};
    Gateway gateway({ .failureDomain = "a" }, std::move(hooks));
    RegistrySync sync(gateway, {}, {});
    auto const address = freeAddress();
    RelayServer const server(loop, address, sync, { compactItem, [](std::span<TargetObservation const>) {} });
    RelayClient client(loop, [](std::string const& source) { return readItem(source); });
    for (auto const version : { 3U, 5U }) {
        Json::Value item;
        item["key"] = "op/config";
        item["revision"] = 50;
        item["value"] = encodeBase64(R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})");
        std::vector<RegistryEvent> const events { *readItem(item) };
        if (version == 3)
            sync.relay().reset(events, { 1, 50 });
        else
            sync.relay().keepConfiguration(events[0]);
        std::optional<RelayUpdate> copied;
        client.copy(address, [&copied](RelayUpdate&& update) { copied = std::move(update); });
        auto const end = Clock::now() + Milliseconds { 2000 };
        while (!copied && Clock::now() < end)
            loop.runOnce(Milliseconds { 1 });
        CHECK(copied && copied->events.size() == 1);
        LONGS_EQUAL(version, std::get<ConfigurationPut>(copied->events[0].change).configuration.version);
    }
}
