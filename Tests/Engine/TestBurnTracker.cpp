#include "Engine/BurnTracker.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(SlidingCounter) {};

// Guards against requests that still count after they have left the window.
TEST(SlidingCounter, DropsRequestsOutsideTheWindow)
{
    SlidingCounter counter(1'000_ms, 10);
    counter.add(true, 0_ms);
    counter.add(false, 950_ms);
    CHECK_EQUAL(2, counter.total(950_ms));
    CHECK_EQUAL(1, counter.good(950_ms));
    CHECK_EQUAL(1, counter.total(1'050_ms));
    CHECK_EQUAL(0, counter.total(5'000_ms));
}
