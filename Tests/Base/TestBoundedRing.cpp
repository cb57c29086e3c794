#include "Base/BoundedRing.h"
#include "Base/WakeSignal.h"

#include <memory>
#include <thread>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(BoundedRing) {};

// Guards against losing an item when the ring is full, and against copying items.
TEST(BoundedRing, KeepsTheItemWhenFull)
{
    BoundedRing<std::unique_ptr<int>> ring(2);
    for (int number = 1; number <= 2; ++number) {
        auto item = std::make_unique<int>(number);
        CHECK(ring.tryPush(item));
        CHECK(item == nullptr);
    }
    auto rejected = std::make_unique<int>(3);
    CHECK_FALSE(ring.tryPush(rejected));
    LONGS_EQUAL(3, *rejected);
    std::unique_ptr<int> popped;
    CHECK(ring.tryPop(popped));
    LONGS_EQUAL(1, *popped);
    CHECK(ring.tryPush(rejected));
    LONGS_EQUAL(2, ring.size());
}

TEST_GROUP(WakeSignal) {};

// Guards against losing a wake-up that precedes the wait.
TEST(WakeSignal, KeepsANotifyBeforeTheWait)
{
    WakeSignal signal;
    signal.notify();
    auto const start = Clock::now();
    signal.waitFor(1000_ms);
    CHECK(Clock::now() - start < 500_ms);
    signal.waitFor(20_ms);
    CHECK(Clock::now() - start >= 19_ms);
}

// Guards against a lost wake-up when notify() and waitFor() race.
TEST(WakeSignal, LosesNoItemBetweenThreads)
{
    constexpr int items = 20000;
    BoundedRing<int> ring(64);
    WakeSignal signal;
    std::thread producer([&] {
        for (int number = 0; number < items; ++number) {
            int item = number;
            while (!ring.tryPush(item))
                std::this_thread::yield();
            signal.notify();
        }
    });
    auto const start = Clock::now();
    int received = 0;
    bool inOrder = true;
    while (received < items && Clock::now() - start < 10000_ms) {
        int item = 0;
        if (ring.tryPop(item))
            inOrder = inOrder && item == received++;
        else
            signal.waitFor(5000_ms);
    }
    producer.join();
    LONGS_EQUAL(items, received);
    CHECK(inOrder);
    CHECK(Clock::now() - start < 4000_ms);
}
