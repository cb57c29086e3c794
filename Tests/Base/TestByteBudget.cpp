#include "Base/ByteBudget.h"

#include <memory>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

// clang-format off
TEST_GROUP(ByteBudget)
{
    std::shared_ptr<ByteBudget> budget { ByteBudget::create({ 1000, 100, 600 }) };

    /// Grows a holder in steps until it has to wait or holds `maximum` bytes; returns the bytes it holds.
    static size_t fill(
        ByteBudget::Holder& holder, size_t step, size_t maximum, std::function<void()> const& resume = [] {})
    {
        while (holder.bytes() < maximum && holder.resize(holder.bytes() + step, resume))
            ;
        return holder.bytes();
    }
};
// clang-format on

// Guards against messages within the allowance having to wait for large ones.
TEST(ByteBudget, AllowanceNeedsNoFreeBytes)
{
    auto const large = this->budget->createHolder();
    fill(*large, 10, 5000);
    auto const small = this->budget->createHolder();
    CHECK(small->resize(100, [] {}));
    LONGS_EQUAL(large->bytes() - 100, this->budget->usedBytes());
    CHECK(large->bytes() <= 100 + 600 + 10);
}

// Guards against unbounded holders using up the entire budget: a new holder still gets bytes, and the sum stays
// bounded.
TEST(ByteBudget, LargeHoldersLeaveBytesForOthers)
{
    std::vector<std::unique_ptr<ByteBudget::Holder>> large;
    for (int count = 0; count < 20; ++count) {
        large.push_back(this->budget->createHolder());
        fill(*large.back(), 1, 5000);
    }
    auto const other = this->budget->createHolder();
    CHECK(other->resize(110, [] {}));
    // A holder exceeds its limit by at most one step.
    CHECK(this->budget->usedBytes() <= 1000 + 600 + 21);
}

// Guards against a deadlock of large responses that wait for each other until their deadlines pass.
TEST(ByteBudget, DeadlockedHoldersCompleteOneAtATime)
{
    constexpr size_t wanted = 400;
    std::vector<std::unique_ptr<ByteBudget::Holder>> holders;
    std::vector<bool> resumed(8, true);
    for (size_t index = 0; index < resumed.size(); ++index)
        holders.push_back(this->budget->createHolder());
    size_t complete = 0;
    for (int round = 0; round < 1000 && complete < holders.size(); ++round) {
        for (size_t index = 0; index < holders.size(); ++index) {
            if (!holders[index] || !resumed[index])
                continue;
            resumed[index]
                = holders[index]->resize(holders[index]->bytes() + 10, [&resumed, index] { resumed[index] = true; });
            if (holders[index]->bytes() >= wanted) {
                holders[index].reset();
                ++complete;
            }
        }
    }
    LONGS_EQUAL(holders.size(), complete);
    LONGS_EQUAL(0, this->budget->usedBytes());
}

// Guards against a waiting reader that is not resumed after bytes are released.
TEST(ByteBudget, ReleasedBytesResumeWaitingHolders)
{
    auto first = this->budget->createHolder();
    auto const second = this->budget->createHolder();
    fill(*first, 10, 5000);
    bool resumed = false;
    fill(*second, 10, 5000, [&resumed] { resumed = true; });
    CHECK_FALSE(resumed);
    first.reset();
    CHECK(resumed);
}
