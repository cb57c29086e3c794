#include "Gateway/RetryAdvice.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(RetryAdvice)
{
    double number { 0 };
    RetryAdvice advice { [this] { return this->number; } };
};

// Guards against callers that return before the time at which service is known to be back.
TEST(RetryAdvice, KnownTimeIsUsed)
{
    DOUBLES_EQUAL(200, advice.wait({ 200_ms, 5000_ms, 4000_ms }).value, 0.01);
    DOUBLES_EQUAL(50, advice.wait({ 0_ms, 5000_ms, 4000_ms }).value, 0.01);
}

// Guards against frequent returns in a long outage, and against long waits after a short one.
TEST(RetryAdvice, WaitGrowsWithTheOutage)
{
    DOUBLES_EQUAL(100, advice.wait({ {}, 100_ms, 4000_ms }).value, 0.01);
    DOUBLES_EQUAL(700, advice.wait({ {}, 700_ms, 4000_ms }).value, 0.01);
    DOUBLES_EQUAL(1000, advice.wait({ {}, 60000_ms, 60000_ms }).value, 0.01);
}

// Guards against a wait after which the caller has no time left for the answer.
TEST(RetryAdvice, WaitLeavesTimeForTheNextRequest)
{
    DOUBLES_EQUAL(150, advice.wait({ {}, 5000_ms, 600_ms }).value, 0.01);
    DOUBLES_EQUAL(50, advice.wait({ {}, 5000_ms, 0_ms }).value, 0.01);
}

// Guards against callers that were refused together and return together.
TEST(RetryAdvice, ReturnsAreSpread)
{
    auto const earliest = advice.wait({ {}, 400_ms, 4000_ms });
    number = 0.99;
    CHECK(advice.wait({ {}, 400_ms, 4000_ms }).value >= 1.25 * earliest.value);
}
