#include "Gateway/RegistrySync.h"
#include "GatewayFixture.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(RegistrySync)
{
    GatewayFixture fixture;
    std::vector<std::function<void(RegistryReply&&)>> lists;
    std::vector<std::pair<uint64_t, std::function<void(RegistryReply&&)>>> watches;
    RegistrySync sync { fixture.gateway,
        { [this](std::function<void(RegistryReply&&)> done) { this->lists.push_back(std::move(done)); },
            [this](uint64_t revision, std::function<void(RegistryReply&&)> done) {
                this->watches.emplace_back(revision, std::move(done));
            } } };

    static RegistryReply reply(uint64_t revision, std::vector<RegistryChange> changes)
    {
        RegistryReply result;
        result.status = RegistryStatus::Ok;
        result.revision = revision;
        result.changes = std::move(changes);
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
    size_t targets() { return fixture.gateway.shared().directory.targets("s").size(); }
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

// Guards against a node that misses what changed between reading and watching.
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

// Guards against a call for each of many changes in quick succession.
TEST(RegistrySync, PausesAfterChangesAndNotAfterSilence)
{
    load();
    watches[0].second(reply(5, {}));
    LONGS_EQUAL(2, watches.size());
    watches[1].second(reply(6, { configuration(4) }));
    LONGS_EQUAL(2, watches.size());
    fixture.advance(500_ms);
    LONGS_EQUAL(3, watches.size());
}

// Guards against calls without pause to a store that refuses, and against an outage that nobody can see in the log.
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

// Guards against a node that starts in an outage and serves nobody long after its end.
TEST(RegistrySync, NodeThatKnowsNothingAsksOften)
{
    sync.start();
    for (size_t count = 0; count < 8; ++count) {
        LONGS_EQUAL(count + 1, lists.size());
        lists.back()(failure());
        fixture.advance(300_ms);
    }
}

// Guards against a node that gives up its targets because their entries lapsed while the store was away.
TEST(RegistrySync, LapsedEntriesAreKeptForAWhileAfterAnOutage)
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
    STRCMP_EQUAL("t1", fixture.gateway.shared().directory.targets("s")[0]->registration().id.c_str());
}

// Guards against a node that goes on from a history that the store has dropped.
TEST(RegistrySync, ReadsEverythingAgainWhenTheHistoryIsLost)
{
    load();
    watches[0].second(failure(RegistryStatus::HistoryLost));
    LONGS_EQUAL(2, lists.size());
    lists[1](reply(20, { target("t2"), target("t3") }));
    LONGS_EQUAL(2, targets());
    LONGS_EQUAL(20, watches.at(1).first);
}

// Guards against a bad entry that stops the others, or keeps the target that it named before.
TEST(RegistrySync, UnusableEntryNamesNoTarget)
{
    load();
    watches[0].second(
        reply(9, { UnusableEntry { "servers/t1", "t1", "Field \"addr\" is missing" }, target("t3") }));
    LONGS_EQUAL(2, targets());
    CHECK(logged("entry-unusable"));
}
