#include "Base/ByteBudget.h"

#include <memory>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

// clang-format off
TEST_GROUP(ByteBudget)
{
    std::shared_ptr<ByteBudget> budget { ByteBudget::create({ 1000, 100, 600 }) };

    /// Lets a holder read `step` bytes at a time until it has to wait or holds `most`; returns what it holds.
    static size_t fill(ByteBudget::Holder& holder, size_t step, size_t most, std::function<void()> const& resume = [] {})
    {
        while (holder.bytes() < most && holder.resize(holder.bytes() + step, resume))
            ;
        return holder.bytes();
    }
};
// clang-format on

// Guards against usual messages that wait for large ones.
TEST(ByteBudget, AllowanceNeedsNoRoom)
{
    auto const greedy = this->budget->createHolder();
    fill(*greedy, 10, 5000);
    auto const usual = this->budget->createHolder();
    CHECK(usual->resize(100, [] {}));
    LONGS_EQUAL(greedy->bytes() - 100, this->budget->usedBytes());
    CHECK(greedy->bytes() <= 100 + 600 + 10);
}

// Guards against holders without end that take everything: each newcomer finds room, and the sum keeps its bound.
TEST(ByteBudget, GreedyHoldersLeaveRoomForOthers)
{
    std::vector<std::unique_ptr<ByteBudget::Holder>> greedy;
    for (int count = 0; count < 20; ++count) {
        greedy.push_back(this->budget->createHolder());
        fill(*greedy.back(), 1, 5000);
    }
    auto const modest = this->budget->createHolder();
    CHECK(modest->resize(110, [] {}));
    // A holder stops one step after its bound at the latest.
    CHECK(this->budget->usedBytes() <= 1000 + 600 + 21);
}

// Guards against large answers that wait for each other until all their deadlines have passed.
TEST(ByteBudget, HoldersThatBlockEachOtherEndOneAfterTheOther)
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

// Guards against a reader that is never woken after room was given back.
TEST(ByteBudget, ReleasedRoomResumesThoseThatWait)
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
