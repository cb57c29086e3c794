#include "Base/Error.h"
#include "Tests/Succession/SuccessionWorld.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static void settleFirst(SuccessionWorld& world)
{
    world.run(5000_ms);
    CHECK(world.stored.has_value());
    DOUBLES_EQUAL(1, world.sumOfShares(), 1e-9);
}

/// Plays random partitions, pauses, restarts, other settings and outages, and checks the sum of shares throughout.
static void playSeed(uint64_t seed)
{
    SuccessionWorld world(seed, 4 + seed % 9, 1 + seed % 4);
    settleFirst(world);
    auto const connectedSide = static_cast<int>(world.uniform() * 2);
    double const otherShare = world.uniform();
    for (auto& node : world.nodes) {
        node.side = world.uniform() < otherShare ? 1 : 0;
        node.registryAccess = node.side == connectedSide ? 1 : std::max(0.0, world.uniform() - 0.5);
    }
    for (int event = 0; event < 12; ++event) {
        world.run(Milliseconds { 15000 * world.uniform() });
        auto const index = static_cast<size_t>(world.uniform() * static_cast<double>(world.nodes.size()));
        auto& node = world.nodes[index];
        auto const kind = world.uniform();
        if (kind < 0.2) {
            node.isPaused = true;
        } else if (kind < 0.5) {
            node.isPaused = false;
            if (!node.runs)
                world.start(index);
        } else if (kind < 0.7) {
            node.runs = false;
        } else if (kind < 0.8) {
            node.configured = { node.address, world.nodes.back().address };
            world.start(index);
        } else if (kind < 0.9) {
            world.registryRuns = !world.registryRuns;
        }
    }
    world.run(100000_ms);
    if (world.largestSum > 1 + 1e-9)
        printf("seed %lu: %.3f at %.1f s\n", static_cast<unsigned long>(seed), world.largestSum,
            world.largestSumAt.value / 1000);
    CHECK(world.largestSum <= 1 + 1e-9);
}

TEST_GROUP(Succession) {};

// Guards against writes while all relays run: each is billed.
TEST(Succession, RosterIsWrittenOnce)
{
    SuccessionWorld world(1, 7, 3);
    world.run(120000_ms);
    CHECK_EQUAL(1, world.writes);
    CHECK_EQUAL(1, world.stored->term);
    DOUBLES_EQUAL(1, world.largestSum, 1e-9);
}

// Guards against a limit that nobody issues once the configured relays are lost for good, at a start of all nodes.
TEST(Succession, OtherNodesTakeOverWhenNoRelayComesBack)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        SuccessionWorld world(seed, 10, 3);
        settleFirst(world);
        for (auto& node : world.nodes)
            node.runs = false;
        world.run(2000_ms);
        for (size_t index = 3; index < 10; ++index)
            world.start(index);
        world.run(10000_ms);
        CHECK(world.sumOfShares() >= 0.69);
        // The slots come to several nodes again when the former holders can issue no more.
        world.run(90000_ms);
        DOUBLES_EQUAL(1, world.sumOfShares(), 1e-9);
        CHECK_EQUAL(3, world.stored->holders().size());
        CHECK(world.largestSum <= 1 + 1e-9);
    }
}

// Guards against the loss of a part of the limit for good with each relay that is lost.
TEST(Succession, RelaysThatAreLostOneByOneAreReplaced)
{
    SuccessionWorld world(3, 10, 3);
    settleFirst(world);
    for (size_t lost = 0; lost < 3; ++lost) {
        world.nodes[lost].runs = false;
        world.run(20000_ms);
        CHECK(world.sumOfShares() >= 2.0 / 3 - 1e-9);
        world.run(80000_ms);
        DOUBLES_EQUAL(1, world.sumOfShares(), 1e-9);
    }
    CHECK(world.largestSum <= 1 + 1e-9);
    CHECK_EQUAL(3, world.stored->holders().size());
}

// Guards against a takeover from a relay that is only stopped and started again.
TEST(Succession, RestartedRelayKeepsItsSlot)
{
    SuccessionWorld world(4, 7, 3);
    settleFirst(world);
    for (size_t index = 0; index < 3; ++index) {
        world.nodes[index].runs = false;
        world.run(8000_ms);
        world.start(index);
        world.run(2000_ms);
    }
    CHECK_EQUAL(1, world.stored->term);
}

// Guards against a takeover by one node that is cut off from relays that run: they cancel its claim.
TEST(Succession, RunningRelaysCancelAClaim)
{
    SuccessionWorld world(5, 7, 3);
    settleFirst(world);
    world.nodes[6].side = 1;
    world.run(60000_ms);
    auto const holders = world.stored->holders();
    CHECK(std::find(holders.begin(), holders.end(), "node-6") == holders.end());
    for (auto const* name : { "node-0", "node-1", "node-2" })
        CHECK(world.stored->isHolder(name));
    DOUBLES_EQUAL(1, world.sumOfShares(), 1e-9);
}

// Guards against an end of issuing in an outage of the registry.
TEST(Succession, RelaysGoOnInAnOutage)
{
    SuccessionWorld world(6, 7, 3);
    settleFirst(world);
    world.registryRuns = false;
    world.run(300000_ms);
    DOUBLES_EQUAL(1, world.sumOfShares(), 1e-9);
    // A node that ended meanwhile is missing on no other side for sure, so the relays issue less.
    world.nodes[6].runs = false;
    world.run(10000_ms);
    CHECK(world.sumOfShares() <= 6.0 / 7 + 1e-9);
    world.registryRuns = true;
    world.run(2000_ms);
    DOUBLES_EQUAL(1, world.sumOfShares(), 1e-9);
}

// Guards against two sets of issuers that give out a limit twice: partitions with and without the registry, paused and
// restarted relays, other settings, an outage.
TEST(Succession, SharesNeverAddUpToMoreThanTheLimit)
{
    for (uint64_t seed = 1; seed <= 300; ++seed)
        playSeed(seed);
    // Paused holders that come back in an outage, and nodes that ask holders of two rosters.
    for (uint64_t const seed : { 1306, 4465, 4581, 5229, 8633, 10170, 16951, 18126, 18751, 19311 })
        playSeed(seed);
}

// Guards against a holder that goes on after a pause, in which it may have been replaced.
TEST(Succession, PausedHolderIssuesNothingUntilItIsConfirmed)
{
    IssuingShare issuing({ "a", { "a" }, 0_ms, "node-a" });
    issuing.onRoster({ 1, { "a" } }, 0_ms);
    issuing.onConfirmed(0_ms);
    DOUBLES_EQUAL(1, issuing.share(1, 100_ms), 0);
    DOUBLES_EQUAL(0, issuing.share(1, 10000_ms), 0);
    DOUBLES_EQUAL(0, issuing.share(1, 10500_ms), 0);
    issuing.onConfirmed(10500_ms);
    DOUBLES_EQUAL(1, issuing.share(1, 11000_ms), 0);
}

// Guards against nodes that count on two sides: one that a former holder may still count, one with an older roster; and
// against a holder that goes on although a node knows of its successor.
TEST(Succession, OnlySettledNodesOfTheSameRosterCount)
{
    IssuingShare issuing({ "a", { "a" }, 0_ms, "node-a" });
    issuing.onRoster({ 5, { "a" } }, 0_ms);
    issuing.onConfirmed(0_ms);
    for (int time = 0; time <= 4000; time += 500)
        issuing.share(4, Milliseconds { static_cast<double>(time) });
    issuing.onNodeHeard({ "node-b", 5, 7000_ms }, 4000_ms);
    issuing.onNodeHeard({ "node-c", 5, 2000_ms }, 4000_ms);
    issuing.onNodeHeard({ "node-d", 4, 7000_ms }, 4000_ms);
    DOUBLES_EQUAL(0.5, issuing.share(4, 4100_ms), 0);
    issuing.onNodeHeard({ "node-b", 6, 7000_ms }, 4200_ms);
    DOUBLES_EQUAL(0, issuing.share(4, 4300_ms), 0);
}

// Guards against an older list of relays that a restored registry brings back.
TEST(Succession, LaterTermIsWrittenAgainAfterARestoration)
{
    RelaySuccession succession({ "a", { "a", "b" }, [] { return 0.0; } });
    RelaySuccession::Conditions const conditions { true, true, false, 2 };
    CHECK(succession.onRoster(RelayRoster { 5, { "a", "c" } }, 90, 0_ms));
    CHECK_FALSE(succession.onRoster(RelayRoster { 3, { "b", "c" } }, 40, 1000_ms));
    CHECK(succession.isRelay());
    auto const write = succession.takeWrite(conditions, 1000_ms);
    CHECK(write.has_value());
    CHECK_EQUAL(40, write->expectedRevision);
    CHECK_EQUAL(6, write->roster.term);
    CHECK(write->roster.slots == (std::vector<std::string> { "a", "c" }));
}

// Guards against a roster that is written where no limit needs one.
TEST(Succession, NothingIsWrittenWithoutLimits)
{
    RelaySuccession succession({ "a", { "a", "b" }, [] { return 0.0; } });
    CHECK_FALSE(succession.takeWrite({ false, true, false, 2 }, 0_ms).has_value());
    CHECK(succession.takeProbes({ false, true, false, 2 }, 0_ms).empty());
    CHECK(succession.takeWrite({ true, true, false, 2 }, 0_ms).has_value());
}

// Guards against an entry of another writer that ends the reader or names slots that don't exist.
TEST(Succession, RosterIsReadAsWrittenOrRefused)
{
    RelayRoster const roster { 7, { "a", "", "b", "a" }, { 1, 2 }, 12, RelayRoster::Claim { "c", { "a" } } };
    CHECK(readRelayRoster(writeRelayRoster(roster)) == roster);
    CHECK(roster.holders() == (std::vector<std::string> { "a", "b" }));
    for (auto const* text : { "", "[]", "{}", R"({"term": 1, "slots": []})", R"({"term": -1, "slots": ["a"]})",
             R"({"term": 1, "slots": [1]})", R"({"term": 1, "slots": ["a"], "taken": [1]})",
             R"({"term": 1, "slots": ["a"], "taken": 0})", R"({"term": 1, "slots": ["a"], "nodes": -1})",
             R"({"term": 1, "slots": ["a"], "claim": {"by": 1}})", R"({"term": 1, "slots": ["a"], "claim": "b"})" })
        CHECK_THROWS(Error, readRelayRoster(text));
}
