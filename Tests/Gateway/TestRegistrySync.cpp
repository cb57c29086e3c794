#include "Gateway/RegistrySync.h"
#include "GatewayFixture.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(RegistrySync)
{
    GatewayFixture fixture;
    std::vector<std::function<void(RegistryReply &&)>> lists;
    std::vector<std::pair<uint64_t, std::function<void(RegistryReply &&)>>> watches;
    std::vector<std::pair<std::string, std::function<void(RelayUpdate &&)>>> follows;
    std::vector<RelayRequest> relayRequests;
    std::vector<std::function<void(RelayUpdate &&)>> copies;
    RegistrySync sync { fixture.gateway, {}, hooks() };
    RegistrySync relay { fixture.gateway, { { "relay-1", "relay-2" }, "relay-1" }, hooks() };
    RegistrySync follower { fixture.gateway, { { "relay-1", "relay-2" } }, hooks() };

    /// Last log line of the event.
    std::string lineOf(std::string const& event)
    {
        auto const found = std::find_if(fixture.lines.rbegin(), fixture.lines.rend(),
            [&event](std::string const& line) { return line.starts_with("event=" + event + " "); });
        return found == fixture.lines.rend() ? "" : *found;
    }

    RegistrySync::Hooks hooks()
    {
        RegistrySync::Hooks result;
        result.list = [this](RegistrySync::Freshness, std::function<void(RegistryReply &&)> done) {
            this->lists.push_back(std::move(done));
        };
        result.watch = [this](RegistryPosition position, Milliseconds, std::function<void(RegistryReply &&)> done) {
            this->watches.emplace_back(position.revision, std::move(done));
        };
        result.follow
            = [this](std::string const& relay, RelayRequest const& request, std::function<void(RelayUpdate &&)> done) {
                  this->relayRequests.push_back(request);
                  this->follows.emplace_back(relay, std::move(done));
              };
        result.copy = [this](std::string const&, std::function<void(RelayUpdate &&)> done) {
            this->copies.push_back(std::move(done));
        };
        return result;
    }

    static std::vector<RegistryEvent> events(uint64_t revision, std::vector<RegistryChange> changes)
    {
        std::vector<RegistryEvent> result;
        result.reserve(changes.size());
        for (auto& change : changes)
            result.push_back({ revision, "key-" + std::to_string(result.size()), "source", std::move(change) });
        return result;
    }
    static RegistryReply reply(uint64_t revision, std::vector<RegistryChange> changes)
    {
        RegistryReply result;
        result.status = RegistryStatus::Ok;
        result.position.revision = revision;
        result.events = events(revision, std::move(changes));
        return result;
    }
    static RelayUpdate update(uint64_t revision, std::vector<RegistryChange> changes, Milliseconds age = {})
    {
        RelayUpdate result;
        result.status = RegistryStatus::Ok;
        result.position.revision = revision;
        result.events = events(revision, std::move(changes));
        result.age = age;
        result.failureDomain = "wien-a";
        return result;
    }
    /// The same of another era.
    template <typename Reply> static Reply ofEra(uint64_t era, Reply reply)
    {
        reply.position.era = era;
        return reply;
    }
    static TargetPut target(std::string const& id, uint64_t incarnation, uint64_t sequence)
    {
        auto put = target(id);
        put.registration.incarnation = incarnation;
        put.registration.sequence = sequence;
        return put;
    }
    uint64_t incarnationOf(std::string const& id)
    {
        auto const found = fixture.gateway.sharedContext().directory.find(id);
        return found ? found->registration().incarnation : 0;
    }
    /// The same of a relay that the registry has answered for so long.
    static RelayUpdate connected(RelayUpdate update, Milliseconds connectedFor)
    {
        update.connectedFor = connectedFor;
        return update;
    }
    static RelayUpdate failedUpdate(RegistryStatus status)
    {
        RelayUpdate result;
        result.status = status;
        return result;
    }
    static RegistryReply failure(RegistryStatus status = RegistryStatus::Failed)
    {
        RegistryReply result;
        result.status = status;
        result.reason = "status 503";
        return result;
    }
    static TargetPut target(std::string const& id)
    {
        TargetRegistration registration;
        registration.id = id;
        registration.service = "s";
        registration.address = "10.0.0.1:80";
        return { registration };
    }
    static ConfigurationPut configuration(uint64_t version) { return { { version, {}, {}, {} } }; }
    size_t targets() { return fixture.gateway.sharedContext().directory.targets("s").size(); }
    bool logged(std::string const& event) const
    {
        return std::any_of(fixture.lines.begin(), fixture.lines.end(),
            [&event](std::string const& line) { return line.starts_with("event=" + event + " "); });
    }

    void load()
    {
        sync.start();
        lists.at(0)(reply(5, { target("t1"), target("t2"), configuration(3) }));
    }
};

// Guards against missing the changes between the first read and the watch.
TEST(RegistrySync, WatchesFromTheRevisionThatWasRead)
{
    sync.start();
    CHECK(!sync.isLoaded());
    load();
    CHECK(sync.isLoaded());
    LONGS_EQUAL(2, targets());
    LONGS_EQUAL(3, fixture.gateway.version());
    LONGS_EQUAL(5, watches.at(0).first);
    watches[0].second(reply(9, { TargetRemoved { "t1" }, configuration(4) }));
    LONGS_EQUAL(1, targets());
    LONGS_EQUAL(4, fixture.gateway.version());
    fixture.advance(1000_ms);
    LONGS_EQUAL(9, watches.at(1).first);
}

// Guards against taking the changes after a restoration for those that this node lacks, against an older configuration,
// and against losing the targets that have not registered again yet.
TEST(RegistrySync, RestoredRegistryIsReadAgain)
{
    load();
    watches.at(0).second(ofEra(1, reply(6, { target("t3") })));
    LONGS_EQUAL(2, targets());
    lists.at(1)(ofEra(1, reply(4, { target("t1"), configuration(2) })));
    LONGS_EQUAL(2, targets());
    LONGS_EQUAL(3, fixture.gateway.version());
    STRCMP_CONTAINS("era=1 before=0 revision=4 revision_before=5", lineOf("registry-restored").c_str());
    LONGS_EQUAL(1, fixture.gateway.sharedContext().metrics.value("registry_restorations"));
    LONGS_EQUAL(4, watches.at(1).first);
    fixture.advance(2100_ms);
    LONGS_EQUAL(2, targets());
    fixture.advance(200_ms);
    LONGS_EQUAL(1, targets());
}

// Guards against an answer that was sent before a restoration and replaces what the node has read after it.
TEST(RegistrySync, AnswerOfAnEarlierEraIsDropped)
{
    sync.start();
    lists.at(0)(ofEra(2, reply(5, { target("t1"), configuration(3) })));
    watches.at(0).second(reply(90, { TargetRemoved { "t1" } }));
    LONGS_EQUAL(1, targets());
    fixture.advance(2000_ms);
    watches.at(1).second(failure(RegistryStatus::HistoryLost));
    lists.at(1)(ofEra(1, reply(90, {})));
    LONGS_EQUAL(1, targets());
    fixture.advance(2000_ms);
    // A watch shows a later era, and the read that follows does not: no watch follows at once.
    lists.at(2)(ofEra(2, reply(6, { target("t1") })));
    auto const count = watches.size();
    watches.back().second(ofEra(3, reply(1, {})));
    lists.at(3)(ofEra(2, reply(6, { target("t1") })));
    LONGS_EQUAL(count, watches.size());
    fixture.advance(2000_ms);
    lists.at(4)(ofEra(3, reply(1, { target("t1") })));
    LONGS_EQUAL(count + 1, watches.size());
}

// Guards against a process of a target that was replaced and comes back with the older copy, and against a new one that
// is kept out by its start time or its revision.
TEST(RegistrySync, OlderCopyDoesNotBringBackAReplacedProcess)
{
    sync.start();
    lists.at(0)(reply(90, { target("replaced", 7, 3), target("new", 7, 3), target("drained", 7, 3) }));
    watches.at(0).second(failure(RegistryStatus::HistoryLost));
    lists.at(1)(ofEra(1, reply(50, { target("replaced", 5, 9), target("new", 8, 1), target("drained", 7, 2) })));
    LONGS_EQUAL(7, incarnationOf("replaced"));
    LONGS_EQUAL(8, incarnationOf("new"));
    LONGS_EQUAL(3, fixture.gateway.sharedContext().directory.find("drained")->registration().sequence);
    watches.at(1).second(ofEra(1, reply(51, { target("replaced", 7, 4) })));
    fixture.advance(3000_ms);
    LONGS_EQUAL(7, incarnationOf("replaced"));
    watches.at(2).second(ofEra(1, reply(52, { target("replaced", 5, 10) })));
    LONGS_EQUAL(5, incarnationOf("replaced"));
    // The process of the older copy is the one that runs when the other does not return.
    fixture.advance(1000_ms);
    watches.at(3).second(failure(RegistryStatus::HistoryLost));
    lists.at(2)(ofEra(2, reply(40, { target("replaced", 4, 1) })));
    LONGS_EQUAL(5, incarnationOf("replaced"));
    fixture.advance(2300_ms);
    LONGS_EQUAL(4, incarnationOf("replaced"));
}

// Guards against a follower that stays in an earlier era, or goes back to one with its relay.
TEST(RegistrySync, FollowerAndRelayOfDifferentEras)
{
    follower.start();
    lists.at(0)(ofEra(1, reply(50, { target("t1"), configuration(3) })));
    CHECK(relayRequests.at(0).position == (RegistryPosition { 1, 50 }));
    LONGS_EQUAL(3, relayRequests[0].configuration.value_or(0));
    // The relay has not noticed the restoration yet.
    follows.at(0).second(update(90, { TargetRemoved { "t1" } }));
    LONGS_EQUAL(1, targets());
    CHECK(logged("relay-left"));
    watches.at(0).second(ofEra(1, reply(50, {})));
    // The next one holds a newer configuration than the restored registry showed.
    follows.at(1).second(ofEra(1, update(50, { configuration(4) })));
    LONGS_EQUAL(4, fixture.gateway.version());
    // It notices the next restoration first, and the registry refuses this node.
    follows.at(2).second(failedUpdate(RegistryStatus::HistoryLost));
    lists.at(1)(failure());
    fixture.advance(5000_ms);
    lists.at(2)(failure());
    copies.at(0)(ofEra(2, update(40, { target("t2"), configuration(2) })));
    LONGS_EQUAL(2, targets());
    LONGS_EQUAL(4, fixture.gateway.version());
}

// Guards against a relay that hands an older configuration to nodes that start after a restoration.
TEST(RegistrySync, RestartedRelayTakesTheNewerConfiguration)
{
    relay.start();
    lists.at(0)(ofEra(1, reply(50, { configuration(3) })));
    LONGS_EQUAL(1, copies.size());
    copies[0](update(90, { target("t1"), configuration(5) }));
    LONGS_EQUAL(5, fixture.gateway.version());
    LONGS_EQUAL(0, targets());
    auto const given = relay.relay().changesAfter({ 1, 50 }, 3);
    LONGS_EQUAL(1, given.events.size());
}

// Guards against an evacuation that ends because its key was lost and is about to be written again.
TEST(RegistrySync, EvacuationOutlastsARestoration)
{
    auto const& directory = fixture.gateway.sharedContext().directory;
    sync.start();
    lists.at(0)(reply(90, { EvacuationPut { "wien-a" }, EvacuationPut { "graz-a" } }));
    watches.at(0).second(failure(RegistryStatus::HistoryLost));
    lists.at(1)(ofEra(1, reply(50, {})));
    LONGS_EQUAL(2, directory.evacuations());
    watches.at(1).second(ofEra(1, reply(51, { EvacuationPut { "wien-a" } })));
    fixture.advance(2300_ms);
    LONGS_EQUAL(1, directory.evacuations());
}

// Guards against an evacuation that is missed, that relays do not forward, or that outlasts its key: the key may be
// removed while this node does not watch.
TEST(RegistrySync, EvacuationLastsAsLongAsItsKey)
{
    auto const& directory = fixture.gateway.sharedContext().directory;
    relay.start();
    lists.at(0)(reply(5, { target("t1"), EvacuationPut { "wien-a" }, EvacuationPut { "graz-a" } }));
    LONGS_EQUAL(2, directory.evacuations());
    watches.at(0).second(reply(6, { EvacuationPut { "linz-a" } }));
    LONGS_EQUAL(3, directory.evacuations());
    LONGS_EQUAL(1, relay.relay().changesAfter({ 0, 5 }).events.size());
    fixture.advance(1000_ms);
    auto removed = reply(7, { EvacuationRemoved { "wien-a" } });
    watches.at(1).second(std::move(removed));
    LONGS_EQUAL(2, directory.evacuations());
    // The removal has the key of the first entry.
    LONGS_EQUAL(2, relay.relay().snapshot().events.size());
    fixture.advance(1000_ms);
    watches.at(2).second(failure(RegistryStatus::HistoryLost));
    lists.at(1)(reply(20, { target("t1"), EvacuationPut { "linz-a" } }));
    LONGS_EQUAL(1, directory.evacuations());
    CHECK(logged("failure-domain-evacuation-ended"));
}

// Guards against a call for each of many changes in quick succession.
TEST(RegistrySync, PausesAfterChangesAndNotAfterAnEmptyReply)
{
    load();
    watches[0].second(reply(5, {}));
    LONGS_EQUAL(2, watches.size());
    watches[1].second(reply(6, { configuration(4) }));
    LONGS_EQUAL(2, watches.size());
    fixture.advance(500_ms);
    LONGS_EQUAL(3, watches.size());
}

// Guards against calls without pause to a registry that refuses them, and against an outage that is not logged.
TEST(RegistrySync, BacksOffDuringAnOutageAndKeepsItsTargets)
{
    load();
    for (int count = 0; count < 40 && fixture.time < 11000_ms; ++count) {
        watches.back().second(failure());
        fixture.advance(1300_ms);
    }
    CHECK(watches.size() < 12);
    LONGS_EQUAL(2, targets());
    CHECK(logged("registry-lost"));
    watches.back().second(reply(5, {}));
    CHECK(logged("registry-regained"));
}

// Guards against a node that starts in an outage and does not serve until long after its end.
TEST(RegistrySync, NodeWithoutEntriesRetriesOften)
{
    sync.start();
    for (size_t count = 0; count < 8; ++count) {
        LONGS_EQUAL(count + 1, lists.size());
        lists.back()(failure());
        fixture.advance(300_ms);
    }
}

// Guards against removing targets because their entries expired in an outage of the registry.
TEST(RegistrySync, ExpiredEntriesAreKeptForAWhileAfterAnOutage)
{
    load();
    watches[0].second(failure());
    fixture.advance(200_ms);
    watches[1].second(reply(8, { TargetRemoved { "t1" }, TargetRemoved { "t2" } }));
    LONGS_EQUAL(2, targets());
    fixture.advance(500_ms);
    watches[2].second(reply(9, { target("t1") }));
    fixture.advance(3000_ms);
    LONGS_EQUAL(1, targets());
    STRCMP_EQUAL("t1", fixture.gateway.sharedContext().directory.targets("s")[0]->registration().id.c_str());
}

// Guards against missing changes that the registry has already dropped from its history.
TEST(RegistrySync, ReadsEverythingAgainWhenTheHistoryIsLost)
{
    load();
    watches[0].second(failure(RegistryStatus::HistoryLost));
    LONGS_EQUAL(2, lists.size());
    lists[1](reply(20, { target("t2"), target("t3") }));
    LONGS_EQUAL(2, targets());
    LONGS_EQUAL(20, watches.at(1).first);
}

// Guards against ignoring a restarted target, and its draining, because its time of day was set back before the
// restart, and against an older state of an entry that replaces a newer one.
TEST(RegistrySync, RegistryTellsTheOrderOfIncarnations)
{
    sync.start();
    TargetRegistration registration;
    registration.id = "t1";
    registration.service = "s";
    registration.incarnation = 100;
    registration.sequence = 7;
    lists[0](reply(7, { TargetPut { registration } }));
    registration.incarnation = 90;
    registration.sequence = 1;
    registration.state = TargetRegistration::State::Draining;
    watches[0].second(reply(8, { TargetPut { registration } }));
    CHECK(fixture.gateway.sharedContext().directory.find("t1")->isDraining());
    fixture.advance(300_ms);
    registration.incarnation = 100;
    registration.state = TargetRegistration::State::Serving;
    auto older = reply(9, {});
    older.events = events(7, { TargetPut { registration } });
    watches[1].second(std::move(older));
    CHECK(fixture.gateway.sharedContext().directory.find("t1")->isDraining());
}

// Guards against an invalid entry that prevents others from being read, or that leaves its target in use.
TEST(RegistrySync, UnusableEntryRemovesItsTarget)
{
    load();
    watches[0].second(reply(9, { UnusableEntry { "servers/t1", "t1", "Field \"addr\" is missing" }, target("t3") }));
    LONGS_EQUAL(2, targets());
    CHECK(logged("entry-unusable"));
}

// Guards against a call to the registry from every node for every change.
TEST(RegistrySync, FollowerRequestsChangesFromARelay)
{
    follower.start();
    lists[0](reply(5, { target("t1"), configuration(3) }));
    LONGS_EQUAL(0, watches.size());
    LONGS_EQUAL(1, follows.size());
    follows[0].second(update(7, { configuration(4) }));
    LONGS_EQUAL(4, fixture.gateway.version());
    LONGS_EQUAL(2, follows.size());
    // The relay is known to be in the node's own failure domain now and is therefore preferred.
    STRCMP_EQUAL(follows[0].first.c_str(), follows[1].first.c_str());
}

// Guards against a slow target that every node has to detect itself.
TEST(RegistrySync, FollowerAppliesObservationsOfOtherNodes)
{
    follower.start();
    lists[0](reply(5, { target("t1") }));
    auto received = update(5, {});
    received.observations = { { "t1", 8, 20_ms }, { "unknown", 8, 0_ms } };
    received.lastObservation = 3;
    follows[0].second(std::move(received));
    auto const known = fixture.gateway.sharedContext().directory.find("t1");
    CHECK(known->slowdown(fixture.time) > 7);
    LONGS_EQUAL(3, relayRequests.at(1).lastObservation);
    // Another relay numbers its observations itself.
    follows[1].second(failedUpdate(RegistryStatus::Failed));
    watches[0].second(reply(6, {}));
    LONGS_EQUAL(0, relayRequests.at(2).lastObservation);
}

// Guards against applying an observation to a target other than the one whose id has the hash that it names.
TEST(RegistrySync, ObservationsNameTargetsByTheirHashes)
{
    follower.start();
    lists[0](reply(5, { target("t1"), target("t2") }));
    auto received = update(5, {});
    received.observations = { { "", 7, 10_ms, hashTargetId("t2") }, { "", 9, 10_ms, hashTargetId("unknown") } };
    follows[0].second(std::move(received));
    auto const& directory = fixture.gateway.sharedContext().directory;
    DOUBLES_EQUAL(1, directory.find("t1")->slowdown(fixture.time), 0.01);
    CHECK(directory.find("t2")->slowdown(fixture.time) > 2);
    POINTERS_EQUAL(nullptr, directory.findByHash(hashTargetId("unknown")).get());
}

// Guards against a request that waits at a relay until the follower's state is too old, and against leaving a relay
// whose state is recent enough.
TEST(RegistrySync, RequestEndsBeforeTheStateIsTooOld)
{
    follower.start();
    lists[0](reply(5, {}));
    // The first request only confirms the first read.
    LONGS_EQUAL(0, relayRequests.at(0).wait.value);
    follows[0].second(update(5, {}));
    LONGS_EQUAL(800, relayRequests.at(1).wait.value);
    follows[1].second(update(5, {}, 2000_ms));
    LONGS_EQUAL(400, relayRequests.at(2).wait.value);
    follows[2].second(update(5, {}, 2390_ms));
    LONGS_EQUAL(100, relayRequests.at(3).wait.value);
    LONGS_EQUAL(0, watches.size());
}

// Guards against a call to the registry for each of many changes while no relay is available.
TEST(RegistrySync, FollowerWithoutARelayPausesAfterChanges)
{
    follower.start();
    lists[0](reply(5, {}));
    follows[0].second(failedUpdate(RegistryStatus::Failed));
    watches[0].second(reply(6, { configuration(4) }));
    LONGS_EQUAL(1, follows.size());
    fixture.advance(500_ms);
    follows.at(1).second(failedUpdate(RegistryStatus::Failed));
    watches.at(1).second(reply(7, { configuration(5) }));
    LONGS_EQUAL(2, watches.size());
    fixture.advance(500_ms);
    LONGS_EQUAL(3, watches.size());
}

// Guards against a follower with an old state because its relay has lost the registry.
TEST(RegistrySync, FollowerOfAnOutdatedRelayWatchesTheRegistry)
{
    follower.start();
    lists[0](reply(5, { configuration(3) }));
    follows[0].second(update(5, {}, 2500_ms));
    LONGS_EQUAL(1, watches.size());
    LONGS_EQUAL(5, watches[0].first);
    CHECK(logged("relay-left"));
    watches[0].second(reply(6, { configuration(4) }));
    LONGS_EQUAL(4, fixture.gateway.version());
    fixture.advance(500_ms);
    LONGS_EQUAL(2, follows.size());
    CHECK(follows[0].first != follows[1].first);
    // No relay is left, so the registry is watched.
    follows[1].second(failedUpdate(RegistryStatus::Failed));
    watches[1].second(reply(6, {}));
    LONGS_EQUAL(3, watches.size());
    LONGS_EQUAL(2, follows.size());
}

// Guards against dividing a target's connections among fewer nodes than there are.
TEST(RegistrySync, EstimatesTheNodesFromTheRelayWithMostFollowers)
{
    LONGS_EQUAL(0, sync.estimatedNodes());
    LONGS_EQUAL(2, follower.estimatedNodes());
    follower.start();
    lists[0](reply(5, {}));
    auto received = update(5, {});
    received.followers = 9;
    follows[0].second(std::move(received));
    LONGS_EQUAL(20, follower.estimatedNodes());
}

// Guards against dividing the rate limits of targets among fewer nodes than there are: before the first count, and when
// a relay of an older version or one that has just started doesn't send it.
TEST(RegistrySync, DividesRateLimitsByTheCountedNodes)
{
    auto& directory = fixture.gateway.sharedContext().directory;
    follower.start();
    lists[0](reply(5, {}));
    LONGS_EQUAL(2, directory.sharingNodes());
    auto received = update(5, {});
    received.followers = 4;
    follows[0].second(std::move(received));
    LONGS_EQUAL(10, directory.sharingNodes());
    received = update(5, {});
    received.nodes = 7;
    follows[1].second(std::move(received));
    LONGS_EQUAL(7, directory.sharingNodes());
    LONGS_EQUAL(7, follower.estimatedNodes());
    follows[2].second(update(5, {}));
    LONGS_EQUAL(7, directory.sharingNodes());
    // Also with a state that is too old to be applied.
    received = update(5, {});
    received.nodes = 8;
    received.age = 60000_ms;
    follows[3].second(std::move(received));
    LONGS_EQUAL(8, directory.sharingNodes());
}

// Guards against a follower that applies the older state of a relay.
TEST(RegistrySync, StopsFollowingARelayThatIsBehind)
{
    follower.start();
    lists[0](reply(9, { configuration(3) }));
    follows[0].second(update(5, { configuration(2) }));
    LONGS_EQUAL(3, fixture.gateway.version());
    LONGS_EQUAL(1, watches.size());
    follower.start();
    lists[1](reply(9, {}));
    follows.back().second(failedUpdate(RegistryStatus::HistoryLost));
    LONGS_EQUAL(3, lists.size());
}

// Guards against a new node that does not serve because the registry refuses its calls while relays have all entries.
TEST(RegistrySync, NewNodeCopiesFromARelayInAnOutage)
{
    follower.start();
    lists[0](failure());
    LONGS_EQUAL(1, copies.size());
    copies[0](update(5, { target("t1"), configuration(3) }));
    CHECK(follower.isLoaded());
    LONGS_EQUAL(3, fixture.gateway.version());
    LONGS_EQUAL(1, targets());
    fixture.advance(200_ms);
    watches.at(0).second(failure());
    fixture.advance(300_ms);
    LONGS_EQUAL(1, follows.size());
}

// Guards against a restarted node that uses removed targets and routes because its first read was seconds old.
TEST(RegistrySync, FirstReadIsConfirmedBeforeTheNodeIsReady)
{
    follower.start();
    lists.at(0)(reply(5, { target("left"), configuration(3) }));
    CHECK(follower.isLoaded());
    CHECK_FALSE(follower.isReady());
    DOUBLES_EQUAL(0, relayRequests.at(0).wait.value, 0);
    follows.at(0).second(update(8, { TargetRemoved { "left" }, configuration(4) }));
    CHECK(follower.isReady());
    LONGS_EQUAL(0, targets());
    LONGS_EQUAL(4, fixture.gateway.version());
    CHECK(relayRequests.at(1).wait > 0_ms);
}

// Guards against a node that never serves because neither a relay nor the registry confirms its first read.
TEST(RegistrySync, UnconfirmedReadIsUsedAfterAWhile)
{
    follower.start();
    lists.at(0)(reply(5, { target("t1"), configuration(3) }));
    follows.at(0).second(failedUpdate(RegistryStatus::Failed));
    fixture.advance(900_ms);
    CHECK_FALSE(follower.isReady());
    fixture.advance(200_ms);
    CHECK(follower.isReady());
}

// Guards against using the copy of a relay that lost the registry long ago although another relay has a recent state.
TEST(RegistrySync, NewNodePrefersTheMostRecentCopy)
{
    follower.start();
    lists.at(0)(failure());
    copies.at(0)(update(5, { target("left"), configuration(3) }, 60000_ms));
    CHECK_FALSE(follower.isLoaded());
    copies.at(1)(update(9, { target("t1"), target("t2"), configuration(4) }, 500_ms));
    CHECK(follower.isReady());
    LONGS_EQUAL(4, fixture.gateway.version());
    LONGS_EQUAL(2, targets());
}

// Guards against a node that waits for the end of an outage although a relay has an older state.
TEST(RegistrySync, StaleCopyIsUsedWhenThereIsNoOther)
{
    follower.start();
    lists.at(0)(failure());
    copies.at(0)(update(5, { target("t1"), configuration(3) }, 60000_ms));
    copies.at(1)(update(4, { configuration(2) }, 90000_ms));
    LONGS_EQUAL(3, fixture.gateway.version());
    STRCMP_CONTAINS("relay=relay-1 revision=5", lineOf("registry-copied").c_str());
    CHECK_FALSE(follower.isReady());
    fixture.advance(1100_ms);
    CHECK(follower.isReady());
}

// Guards against relays that do not serve after a restart in an outage although another relay has all entries.
TEST(RegistrySync, RestartedRelayCopiesFromAnotherOne)
{
    relay.start();
    lists.at(0)(failure());
    copies.at(0)(update(5, { target("t1"), configuration(3) }, 1500_ms));
    CHECK(relay.isReady());
    RelayUpdate described;
    relay.addRelayStatus(described);
    // The relay must not report the copy to its followers as more recent than it is.
    CHECK(described.age >= 1500_ms);
    fixture.advance(500_ms);
    LONGS_EQUAL(0, follows.size());
    LONGS_EQUAL(1, watches.size());
}

// Guards against a relay that stays on old entries, and passes them on as recent, while the registry refuses it alone.
TEST(RegistrySync, RefusedRelayTakesChangesFromAnotherOne)
{
    relay.start();
    lists.at(0)(reply(5, { target("t1"), configuration(3) }));
    fixture.advance(1500_ms);
    watches.at(0).second(failure());
    LONGS_EQUAL(1, follows.size());
    STRCMP_EQUAL("relay-2", follows[0].first.c_str());
    LONGS_EQUAL(5, relayRequests[0].position.revision);
    DOUBLES_EQUAL(0, relayRequests[0].wait.value, 0);
    follows[0].second(update(6, { configuration(4) }, 200_ms));
    LONGS_EQUAL(4, fixture.gateway.version());
    RelayUpdate described;
    relay.addRelayStatus(described);
    DOUBLES_EQUAL(200, described.age.value, 1e-9);
    LONGS_EQUAL(1, relay.relay().changesAfter({ 0, 5 }).events.size());
    // The registry is called again, and an outage of the registry for all nodes is not hidden.
    fixture.advance(300_ms);
    LONGS_EQUAL(2, watches.size());
    watches[1].second(failure());
    follows.at(1).second(update(6, {}, 60000_ms));
    relay.addRelayStatus(described);
    CHECK(described.age >= 500_ms);
    fixture.advance(600_ms);
    LONGS_EQUAL(3, watches.size());
    watches[2].second(failure());
    // The other relay is outdated too, so it is not asked again at once.
    LONGS_EQUAL(2, follows.size());
}

// Guards against a follower that waits for the registry, which refuses it, after its relay has lost the history.
TEST(RegistrySync, FollowerWithoutHistoryCopiesFromAnotherRelay)
{
    follower.start();
    lists.at(0)(reply(5, { target("t1"), configuration(3) }));
    follows.at(0).second(failedUpdate(RegistryStatus::HistoryLost));
    lists.at(1)(failure());
    LONGS_EQUAL(1, copies.size());
    // A copy that is older than what the node has is not used.
    copies[0](update(4, { configuration(2) }, 100_ms));
    LONGS_EQUAL(1, targets());
    fixture.advance(500_ms);
    LONGS_EQUAL(3, lists.size());
    lists[2](failure());
    fixture.advance(1200_ms);
    lists.at(3)(failure());
    copies.at(1)(update(9, { target("t2"), configuration(4) }, 100_ms));
    LONGS_EQUAL(4, fixture.gateway.version());
    CHECK(fixture.gateway.sharedContext().directory.find("t2") != nullptr);
    CHECK(fixture.gateway.sharedContext().directory.find("t1") == nullptr);
}

// Guards against followers that remove targets whose entries expired in an outage that only the relay observed.
TEST(RegistrySync, RelayReportsTheOutageToFollowers)
{
    follower.start();
    lists[0](reply(5, { target("t1"), target("t2") }));
    auto received = update(8, { TargetRemoved { "t1" } });
    received.outageEnded = 300_ms;
    follows[0].second(std::move(received));
    LONGS_EQUAL(2, targets());
    fixture.advance(3000_ms);
    LONGS_EQUAL(1, targets());
}

// Guards against a removal that is applied late because a relay takes the return of its own path to the registry for
// the end of an outage: the registry has answered another relay all the time.
TEST(RegistrySync, RemovalAfterAnOwnCutIsNotDeferred)
{
    relay.start();
    lists.at(0)(reply(5, { target("t1"), target("t2") }));
    fixture.advance(60000_ms);
    watches.at(0).second(reply(5, {}));
    watches.at(1).second(failure());
    follows.at(0).second(connected(update(5, {}, 300_ms), 70000_ms));
    fixture.advance(1500_ms);
    watches.at(2).second(failure());
    follows.at(1).second(connected(update(5, {}, 300_ms), 71500_ms));
    fixture.advance(2000_ms);
    watches.at(3).second(reply(8, { TargetRemoved { "t1" } }));
    // The other relay is asked before the removal counts.
    LONGS_EQUAL(2, targets());
    follows.back().second(connected(update(8, {}, 100_ms), 75000_ms));
    LONGS_EQUAL(1, targets());
    CHECK(logged("registry-outage-refuted"));
    RelayUpdate described;
    relay.addRelayStatus(described);
    CHECK_FALSE(described.outageEnded.has_value());
    CHECK(*described.connectedFor >= 60000_ms);
}

// Guards against the loss of targets of which the entries lapsed in an outage of the registry: no relay was answered.
TEST(RegistrySync, RemovalAfterAnOutageOfAllRelaysIsDeferred)
{
    relay.start();
    lists.at(0)(reply(5, { target("t1"), target("t2") }));
    fixture.advance(60000_ms);
    watches.at(0).second(reply(5, {}));
    watches.at(1).second(failure());
    follows.at(0).second(failedUpdate(RegistryStatus::Failed));
    fixture.advance(5000_ms);
    watches.at(2).second(reply(8, { TargetRemoved { "t1" }, TargetRemoved { "t2" } }));
    follows.back().second(connected(update(8, {}, 100_ms), 400_ms));
    LONGS_EQUAL(2, targets());
    fixture.advance(300_ms);
    watches.at(3).second(reply(9, { target("t1") }));
    fixture.advance(3000_ms);
    LONGS_EQUAL(1, targets());
}

// Guards against a follower that believes in an outage of the registry that only its relay has seen.
TEST(RegistrySync, FollowerDoesNotTakeTheCutOfItsRelayForAnOutage)
{
    follower.start();
    lists.at(0)(reply(5, { target("t1"), target("t2") }));
    follows.at(0).second(connected(update(5, {}, 100_ms), 60000_ms));
    follows.at(1).second(failedUpdate(RegistryStatus::Failed));
    watches.at(0).second(reply(6, {}));
    fixture.advance(900_ms);
    // The follower has watched the registry until shortly before the relay was answered again.
    auto received = connected(update(8, { TargetRemoved { "t1" } }, 50_ms), 100_ms);
    received.outageEnded = 100_ms;
    follows.at(2).second(std::move(received));
    LONGS_EQUAL(1, targets());
    // After a longer time without any contact, it can't know better.
    fixture.advance(5000_ms);
    received = connected(update(9, { TargetRemoved { "t2" } }, 50_ms), 100_ms);
    received.outageEnded = 100_ms;
    follows.at(3).second(std::move(received));
    LONGS_EQUAL(1, targets());
}

// Guards against a refuted outage that also ends the grace period after a restoration.
TEST(RegistrySync, RestorationIsNotRefuted)
{
    relay.start();
    lists.at(0)(reply(5, { target("t1"), target("t2") }));
    fixture.advance(60000_ms);
    watches.at(0).second(ofEra(1, reply(4, {})));
    lists.at(1)(ofEra(1, reply(4, { target("t1") })));
    copies.clear();
    watches.at(1).second(failure());
    follows.at(0).second(ofEra(1, connected(update(4, {}, 100_ms), 70000_ms)));
    LONGS_EQUAL(2, targets());
    fixture.advance(3000_ms);
    LONGS_EQUAL(1, targets());
}

// Guards against a relay that cuts its tokens at its start, because it takes the list of relays that it has just read
// for one that the registry has not confirmed.
TEST(RegistrySync, RosterIsConfirmedByTheReadThatHoldsIt)
{
    std::vector<std::string> calls;
    auto recording = hooks();
    recording.confirmed = [&calls](Milliseconds) { calls.emplace_back("confirmed"); };
    recording.rosterRead = [&calls](std::optional<RelayRoster> const& roster, uint64_t) {
        calls.emplace_back(roster ? "roster" : "none");
    };
    RegistrySync node { fixture.gateway, { { "relay-1" }, "relay-1", "relay-1" }, recording };
    node.start();
    lists.back()(reply(5, { RosterPut { RelayRoster { 1, { "relay-1" } }, {} } }));
    watches.back().second(reply(6, { RosterPut { RelayRoster { 2, { "relay-1" } }, {} } }));
    CHECK(calls == (std::vector<std::string> { "confirmed", "roster", "confirmed", "roster" }));
}

// Guards against targets that are lost because a refuted outage ends the grace period of a restoration after it.
TEST(RegistrySync, RefutedOutageKeepsTheGraceOfARestoration)
{
    relay.start();
    lists.at(0)(reply(5, { target("t1"), target("t2") }));
    fixture.advance(60000_ms);
    watches.at(0).second(failure());
    follows.at(0).second(failedUpdate(RegistryStatus::Failed));
    fixture.advance(1000_ms);
    watches.at(1).second(reply(5, {}));
    auto const verification = follows.size() - 1;
    watches.at(2).second(ofEra(1, reply(4, {})));
    lists.at(1)(ofEra(1, reply(4, { target("t1") })));
    follows.at(verification).second(ofEra(1, connected(update(4, {}, 100_ms), 70000_ms)));
    CHECK(logged("registry-outage-refuted"));
    LONGS_EQUAL(2, targets());
    fixture.advance(3000_ms);
    LONGS_EQUAL(1, targets());
}

TEST_GROUP(RegistryContact)
{
    using Verdict = RegistryContact::Verdict;
    RegistryContact contact;

    void setup() override
    {
        contact.onAnswered(0_ms);
        contact.onAnswered(10000_ms);
    }
};

// Guards against an outage that is seen where calls were answered, only seldom.
TEST(RegistryContact, TimeWithoutCallsIsNoOutage)
{
    CHECK(contact.onAnswered(15000_ms) == Verdict::Unchanged);
    CHECK(contact.onSpan({ 15500_ms, 16000_ms }) == Verdict::Unchanged);
    CHECK_FALSE(contact.outageEndedAt().has_value());
}

// Guards against evidence that covers a part of the time only, or is of after it.
TEST(RegistryContact, OnlyContactOverTheWholeTimeRefutes)
{
    contact.onFailed(11000_ms);
    CHECK(contact.onAnswered(16000_ms) == Verdict::Outage);
    CHECK(contact.onSpan({ 10100_ms, 16000_ms }) == Verdict::Unchanged);
    DOUBLES_EQUAL(16000, contact.outageEndedAt()->value, 0);
    CHECK(contact.onSpan({ 9000_ms, 16000_ms }) == Verdict::Refuted);
    CHECK_FALSE(contact.outageEndedAt().has_value());
    DOUBLES_EQUAL(0, contact.since()->value, 0);
}

// Guards against a second loss that makes the first one, of which removals still wait, look refuted.
TEST(RegistryContact, EvidenceMustCoverAnEarlierOutageAsWell)
{
    contact.onFailed(11000_ms);
    contact.onAnswered(16000_ms);
    contact.onFailed(16500_ms);
    contact.onAnswered(17000_ms);
    CHECK(contact.onSpan({ 15000_ms, 17000_ms }) == Verdict::Unchanged);
    CHECK(contact.onSpan({ 9500_ms, 17000_ms }) == Verdict::Refuted);
    // One that is long over does not matter.
    contact.onFailed(25000_ms);
    contact.onAnswered(30000_ms);
    contact.onFailed(35000_ms);
    contact.onAnswered(40000_ms);
    CHECK(contact.onSpan({ 29000_ms, 40000_ms }) == Verdict::Refuted);
}

// Guards against the contact of others that ends an outage of this node's own path before it has ended.
TEST(RegistryContact, ContactOfOthersDuringACut)
{
    contact.onFailed(12500_ms);
    CHECK(contact.onSpan({ 2000_ms, 12000_ms }) == Verdict::Unchanged);
    DOUBLES_EQUAL(12000, contact.last()->value, 0);
    CHECK(contact.onAnswered(13000_ms) == Verdict::Outage);
    CHECK(contact.onSpan({ 2000_ms, 13000_ms }) == Verdict::Refuted);
}

// Guards against an outage that is seen when a node asks the registry again long after a failed call, while it has
// followed a relay.
TEST(RegistryContact, LaterContactOfOthersEndsTheOwnLoss)
{
    contact.onFailed(11000_ms);
    CHECK(contact.onSpan({ 2000_ms, 12000_ms }) == Verdict::Unchanged);
    CHECK(contact.onAnswered(60000_ms) == Verdict::Unchanged);
    CHECK_FALSE(contact.isInGrace(60000_ms));
}

TEST_GROUP(RegistryRelay)
{
    RegistryRelay relay;

    static std::vector<RegistryEvent> put(uint64_t revision, std::string const& key)
    {
        TargetRegistration registration;
        registration.id = key;
        return { { revision, key, "source of " + key, TargetPut { registration } } };
    }
};

// Guards against a gap in the changes that followers receive.
TEST(RegistryRelay, ReturnsChangesSinceARevisionOrHistoryLost)
{
    CHECK(relay.changesAfter({ 0, 0 }).status == RegistryStatus::HistoryLost);
    CHECK(relay.snapshot().status == RegistryStatus::Failed);
    relay.reset(put(4, "a"), { 0, 10 });
    CHECK(relay.changesAfter({ 0, 9 }).status == RegistryStatus::HistoryLost);
    CHECK(relay.changesAfter({ 0, 10 }).events.empty());
    relay.append(put(11, "b"), 12);
    relay.append(put(11, "b"), 12);
    LONGS_EQUAL(1, relay.changesAfter({ 0, 10 }).events.size());
    LONGS_EQUAL(12, relay.changesAfter({ 0, 10 }).position.revision);
    LONGS_EQUAL(0, relay.changesAfter({ 0, 11 }).events.size());
    std::vector<RegistryEvent> const removal { { 13, "a", "gone", TargetRemoved { "a" } } };
    relay.append(removal, 13);
    LONGS_EQUAL(1, relay.snapshot().events.size());
    STRCMP_EQUAL("b", relay.snapshot().events[0].key.c_str());
}

// Guards against changes of one era that are given to a follower of another one, and against an older configuration.
TEST(RegistryRelay, PositionsOfAnotherEra)
{
    auto const configuration = [](uint64_t version, uint64_t revision) {
        return std::vector<RegistryEvent> { { revision, "config", "v" + std::to_string(version),
            ConfigurationPut { { version, {}, {}, {} } } } };
    };
    relay.reset(configuration(5, 88), { 0, 90 });
    relay.reset(configuration(4, 60), { 1, 70 });
    STRCMP_EQUAL("v5", relay.snapshot().events.at(0).source.c_str());
    relay.append(put(71, "a"), 71);
    CHECK(relay.changesAfter({ 0, 70 }).status == RegistryStatus::HistoryLost);
    CHECK(relay.changesAfter({ 0, 95 }).status == RegistryStatus::HistoryLost);
    CHECK(relay.changesAfter({ 2, 10 }).status == RegistryStatus::Ok);
    LONGS_EQUAL(0, relay.changesAfter({ 2, 10 }).events.size());
    CHECK(relay.hasChangesAfter({ 0, 95 }));
    CHECK_FALSE(relay.hasChangesAfter({ 2, 10 }));
    LONGS_EQUAL(1, relay.changesAfter({ 1, 70 }).events.size());
    LONGS_EQUAL(2, relay.changesAfter({ 1, 70 }, 4).events.size());
    LONGS_EQUAL(1, relay.changesAfter({ 1, 70 }, 5).events.size());
    relay.append(configuration(6, 72), 72);
    LONGS_EQUAL(2, relay.changesAfter({ 1, 70 }, 4).events.size());
    relay.append(configuration(3, 73), 73);
    STRCMP_EQUAL("v6", relay.snapshot().events.at(1).source.c_str());
}

// Guards against followers that wait although there are changes, and against notifying a waiter twice.
TEST(RegistryRelay, NotifiesWaitersOnce)
{
    relay.reset({}, { 0, 10 });
    int calls = 0;
    relay.waitForChange([&calls] { ++calls; });
    auto const cancelled = relay.waitForChange([&calls] { calls += 100; });
    relay.cancelWait(cancelled);
    relay.append({}, 11);
    LONGS_EQUAL(0, calls);
    relay.append(put(12, "a"), 12);
    relay.append(put(13, "b"), 13);
    LONGS_EQUAL(1, calls);
}

// Guards against nodes that assume a small fleet after a restart, against a stored number that replaces a counted one,
// and against an unreadable one that has an effect.
TEST(RegistrySync, StoredNumberOfNodesIsUsedUntilTheRelaysHaveCounted)
{
    follower.start();
    lists.at(0)(reply(5, { NodeCountPut { 111, {} } }));
    LONGS_EQUAL(111, follower.estimatedNodes());
    LONGS_EQUAL(111, fixture.gateway.sharedContext().directory.sharingNodes());
    CHECK(follower.knownNodes().source == ExtraAttemptAllowance::Nodes::Source::Stored);
    auto changes = update(6, { NodeCountPut { {}, "is not a number" } });
    follows.at(0).second(std::move(changes));
    CHECK(!lineOf("entry-unusable").empty());
    LONGS_EQUAL(0, follower.knownNodes().count);
    auto counted = update(7, { NodeCountPut { 500, {} } });
    counted.nodes = 95;
    follows.at(1).second(std::move(counted));
    LONGS_EQUAL(95, follower.estimatedNodes());
    LONGS_EQUAL(95, follower.knownNodes().count);
}

// Guards against writes while the registry is lost, and against a failed write that is forgotten or stops the relay.
TEST(RegistrySync, CountedNodesAreStoredWhileTheRegistryIsConnected)
{
    std::vector<uint32_t> written;
    auto writing = hooks();
    writing.writeNodes = [&written](uint32_t nodes, std::function<void(std::string const&)> const& done) {
        written.push_back(nodes);
        done("status 503");
    };
    RegistrySync writer { fixture.gateway, { { "relay-1" }, "relay-1" }, std::move(writing) };
    writer.start();
    writer.storeNodes(20, true);
    LONGS_EQUAL(0, written.size());
    lists.at(0)(reply(5, {}));
    writer.storeNodes(20, true);
    writer.storeNodes(20, true);
    LONGS_EQUAL(1, written.size());
    fixture.advance(10000_ms);
    writer.storeNodes(20, true);
    LONGS_EQUAL(2, written.size());
    STRCMP_CONTAINS("status 503", lineOf("nodes-stored").c_str());
}
