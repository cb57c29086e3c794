#include "Bench/BenchLoop.h"

#include "CppUTest/TestHarness.h"

#include <vector>

using namespace Toucan;
using namespace Toucan::Bench;

TEST_GROUP(BenchLoop) {};

// Guards against a loop that keeps waiting when stop() is called by the last pending timer.
TEST(BenchLoop, EndsWhenATimerStopsIt)
{
    BenchLoop loop;
    loop.schedule(Clock::now() + 5_ms, [&loop] { loop.stop(); });
    loop.run();
}

// Guards against timers that fire out of order, early, or after they were cancelled.
TEST(BenchLoop, FiresTimersInOrderAndNotEarly)
{
    BenchLoop loop;
    std::vector<int> fired;
    auto const start = Clock::now();
    auto const cancelled = loop.schedule(start + 2_ms, [&fired] { fired.push_back(0); });
    loop.schedule(start + 6_ms, [&] {
        fired.push_back(2);
        loop.stop();
    });
    loop.schedule(start + 3_ms, [&fired] { fired.push_back(1); });
    loop.cancel(cancelled);
    loop.run();
    CHECK_TRUE(Clock::now() - start >= 6_ms);
    LONGS_EQUAL(2, fired.size());
    LONGS_EQUAL(1, fired[0]);
    LONGS_EQUAL(2, fired[1]);
}
