#include "Gateway/NodeCounter.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(NodeCounter)
{
    NodeCounter counter { 0_ms };
    NodeCounter other { 0_ms };

    /// Counts once a second, as a relay does; returns the number at the end.
    uint32_t countUntil(Milliseconds from, Milliseconds end)
    {
        for (auto now = from; now < end; now += 1000_ms)
            counter.count(now);
        return counter.count(end).value();
    }

    /// The nodes "n0" to "nCOUNT-1" ask the relay.
    static void see(NodeCounter & relay, size_t count, Milliseconds now)
    {
        for (size_t index = 0; index < count; ++index)
            relay.onSeen("n" + std::to_string(index), now);
    }
};

// Guards against a number that is too small because a relay has just started, which lets nodes exceed shared limits.
TEST(NodeCounter, IsUnknownUntilAllNodesHaveHadTimeToCome)
{
    see(counter, 3, 1000_ms);
    CHECK_FALSE(counter.count(5900_ms));
    LONGS_EQUAL(3, counter.count(6100_ms).value());
}

// Guards against counting a node twice that asks several relays.
TEST(NodeCounter, CountsTheNodesOfAllRelaysOnce)
{
    see(counter, 300, 9000_ms);
    see(other, 470, 9000_ms);
    counter.onReport(other.report("r2", 9000_ms), 9000_ms);
    LONGS_EQUAL(470, counter.count(10000_ms).value());
    counter.onReport({ "r3", { 1, 2, 3 } }, 10000_ms);
    LONGS_EQUAL(473, counter.count(10000_ms).value());
    counter.onReport({ "r3", { 1 } }, 10000_ms);
    LONGS_EQUAL(471, counter.count(10000_ms).value());
}

// Guards against a number that is too small after a relay has restarted and has not seen its followers again.
TEST(NodeCounter, IncompleteReportsRemoveNoNodes)
{
    see(counter, 1, 9000_ms);
    see(other, 1, 5000_ms);
    CHECK_FALSE(other.report("r2", 5000_ms).isComplete);
    CHECK(other.report("r2", 6000_ms).isComplete);
    counter.onReport({ "r2", { 1, 2, 3 } }, 8000_ms);
    counter.onReport({ "r2", { 4 }, false }, 9000_ms);
    LONGS_EQUAL(5, counter.count(9000_ms).value());
    counter.onReport({ "r2", { 4 }, true }, 9500_ms);
    LONGS_EQUAL(2, counter.count(9500_ms).value());
}

// Guards against nodes that are counted forever after their end.
TEST(NodeCounter, NodesThatEndedAreRemoved)
{
    see(counter, 7, 9000_ms);
    see(counter, 5, 14000_ms);
    LONGS_EQUAL(7, countUntil(9000_ms, 14900_ms));
    LONGS_EQUAL(5, counter.count(15100_ms).value());
}

// Guards against a number that is too small in an outage of the registry, in which nodes do not follow the relays.
TEST(NodeCounter, NodesThatDoNotFollowAnOutdatedRelayAreKept)
{
    see(counter, 7, 9000_ms);
    LONGS_EQUAL(7, countUntil(9000_ms, 15000_ms));
    see(counter, 2, 15000_ms);
    counter.keepAbsent(15000_ms);
    LONGS_EQUAL(7, countUntil(15000_ms, 20900_ms));
    LONGS_EQUAL(2, counter.count(21000_ms).value());
}

// Guards against a number that is too small while only the relays have lost contact with each other.
TEST(NodeCounter, NodesOfASilentRelayAreKeptForAWhile)
{
    counter.onReport({ "r2", { 1, 2, 3 } }, 9000_ms);
    countUntil(9000_ms, 30000_ms);
    see(counter, 2, 30000_ms);
    LONGS_EQUAL(5, counter.count(30000_ms).value());
    countUntil(30000_ms, 39000_ms);
    see(counter, 2, 39000_ms);
    LONGS_EQUAL(2, counter.count(39100_ms).value());
}

// Guards against a number that is too small after the relay was paused and heard nobody.
TEST(NodeCounter, NodesAreKeptAfterAPauseOfTheRelay)
{
    see(counter, 4, 9000_ms);
    counter.onReport({ "r2", { 1, 2, 3 } }, 9000_ms);
    LONGS_EQUAL(7, countUntil(9000_ms, 10000_ms));
    LONGS_EQUAL(7, counter.count(60000_ms).value());
    see(counter, 2, 65000_ms);
    LONGS_EQUAL(5, countUntil(61000_ms, 66100_ms));
}

// Guards against memory that grows with reports under ever new names.
TEST(NodeCounter, ReportsAreBounded)
{
    for (uint32_t relay = 0; relay < 1000; ++relay)
        counter.onReport({ "r" + std::to_string(relay), { relay } }, 9000_ms);
    LONGS_EQUAL(16, counter.count(9000_ms).value());
}
