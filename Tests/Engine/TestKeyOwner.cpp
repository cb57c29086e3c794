#include "KeyOwnerFixture.h"

#include "Engine/DispatcherAssignment.h"

#include <random>
#include <set>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static uint64_t asKeyTime(Milliseconds time) { return static_cast<uint64_t>(time.value); }

TEST_GROUP(KeyOwner)
{
    TestConfiguration configuration;
    InMemoryOwnershipStore store;
    KeyOwnerNode first { "n1", 1 };
    KeyOwnerNode second { "n2", 1 };
    Milliseconds now { 1000000 };

    void setup() override
    {
        configuration.value.fleet.nodes["n2"] = { "n2", "d1" };
        configuration.value.fleet.keyRanges = 1;
        first.owner.setConfiguration(configuration.pointer(), now);
        second.owner.setConfiguration(configuration.pointer(), now);
        now += 500_ms;
        first.step(store, now);
    }
    /// Lets the second node claim the range that the first one lost.
    void takeOver()
    {
        second.owner.onRecord(*store.read(0), now);
        second.step(store, now);
        CHECK_EQUAL(std::string("n2"), store.read(0)->owner);
    }
};

// Guards against UUIDs of another version, whose digits do not encode a time.
TEST(KeyOwner, ReadsOnlyTheTimeOfUuid7)
{
    LONGS_EQUAL(0x017F22E279B0, requestKeyTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F").value());
    CHECK_FALSE(requestKeyTime("017F22E2-79B0-4CC3-98C4-DC0C0C07398F").has_value());
    CHECK_FALSE(requestKeyTime("017F22E2-79B0-7CC3-18C4-DC0C0C07398F").has_value());
    CHECK_FALSE(requestKeyTime("017F22E2x79B0-7CC3-98C4-DC0C0C07398F").has_value());
    first.submit("no key", now);
    CHECK(first.replies.at(0).result.outcome == Outcome::NotRun);
    LONGS_EQUAL(0, first.runs.size());
}

// Guards against a second run by a duplicate, and against different results for one key.
TEST(KeyOwner, DuplicatesWaitForAndGetTheStoredResult)
{
    auto const key = makeKey(asKeyTime(now), 1);
    first.submit(key, now, "a");
    first.submit(key, now, "b");
    LONGS_EQUAL(1, first.runs.size());
    LONGS_EQUAL(0, first.replies.size());
    first.finish(first.runs[0], Outcome::Ran, now);
    LONGS_EQUAL(2, first.replies.size());
    STRCMP_EQUAL("r-b", first.replies[1].result.requestId.c_str());
    first.submit(key, now, "c");
    LONGS_EQUAL(1, first.runs.size());
    CHECK(first.replies.at(2).result.outcome == Outcome::Ran);
}

// Guards against a concurrent duplicate that runs after "not run" was reported.
TEST(KeyOwner, NotRunIsFinal)
{
    auto const key = makeKey(asKeyTime(now), 1);
    first.submit(key, now);
    first.finish(first.runs.at(0), Outcome::NotRun, now);
    first.submit(key, now);
    LONGS_EQUAL(1, first.runs.size());
    CHECK(first.replies.at(1).result.outcome == Outcome::NotRun);
}

// Guards against running keys that a previous owner may have run.
TEST(KeyOwner, KeyBelowTheIntervalIsUnknown)
{
    first.submit(makeKey(asKeyTime(now) - 1, 1), now);
    LONGS_EQUAL(0, first.runs.size());
    CHECK(first.replies.at(0).result.outcome == Outcome::Unknown);
}

// Guards against a run of a key that the owner's interval does not cover yet, and against a result other than unknown.
TEST(KeyOwner, KeyAboveTheIntervalWaitsForTheExtension)
{
    first.submit(makeKey(asKeyTime(now) + 30010, 1), now);
    first.submit(makeKey(asKeyTime(now) + 90000, 2), now);
    LONGS_EQUAL(0, first.runs.size());
    now += 50_ms;
    first.step(store, now);
    LONGS_EQUAL(2, first.replies.size());
    CHECK(first.replies[0].result.outcome == Outcome::Unknown);
    now += 4950_ms;
    first.submit(makeKey(asKeyTime(now) + 29999, 3), now);
    LONGS_EQUAL(0, first.runs.size());
    first.step(store, now);
    LONGS_EQUAL(1, first.runs.size());
}

// Guards against a lost answer that enlarges the interval before the store confirmed it.
TEST(KeyOwner, LostExtensionLeavesTheSmallerIntervalInForce)
{
    now += 5000_ms;
    first.owner.advance(now, now);
    auto const write = first.writes.at(0);
    first.writes.clear();
    CHECK(store.compareAndSwap(write.next, write.expectedRevision));
    first.owner.onWriteResult(0, KeyOwner::WriteResult::Unknown, std::nullopt, now);
    auto const key = makeKey(write.next.until - 1, 1);
    first.submit(key, now);
    LONGS_EQUAL(0, first.runs.size());
    first.owner.advance(now + 10_ms, now + 10_ms);
    LONGS_EQUAL(0, first.writes.size());
    first.owner.onRecord(*store.read(0), now + 20_ms);
    LONGS_EQUAL(1, first.runs.size());
}

// Guards against two owners of one key after the lease of a paused owner has expired.
TEST(KeyOwner, PausedOwnerDecidesOnlyItsOwnInterval)
{
    auto const oldUntil = store.read(0)->until;
    now += 31000_ms;
    takeOver();
    CHECK(store.read(0)->from >= oldUntil);
    // The paused owner resumes and has not received its successor's record.
    first.submit(makeKey(oldUntil - 1, 1), now);
    first.submit(makeKey(oldUntil, 2), now);
    second.submit(makeKey(oldUntil - 1, 1), now);
    second.submit(makeKey(oldUntil, 2), now);
    LONGS_EQUAL(1, first.runs.size());
    LONGS_EQUAL(1, second.runs.size());
    CHECK(first.runs[0].requestKey != second.runs[0].requestKey);
    first.step(store, now);
    STRCMP_EQUAL("n2", store.read(0)->owner.c_str());
}

// Guards against a claim of a range whose owner is alive and extends it.
TEST(KeyOwner, NoClaimBeforeTheIntervalHasPassed)
{
    second.owner.onRecord(*store.read(0), now);
    second.owner.advance(now + 20000_ms, now + 20000_ms);
    LONGS_EQUAL(0, second.writes.size());
}

// Guards against a gap of 30 s at each graceful stop, and against a successor that covers keys of the old owner.
TEST(KeyOwner, ReleaseLetsTheSuccessorStartAtOnce)
{
    auto const running = makeKey(asKeyTime(now) + 100, 1);
    first.submit(running, now);
    first.owner.release(now);
    first.step(store, now);
    CHECK_FALSE(first.owner.isReleaseFinished());
    first.finish(first.runs.at(0), Outcome::Ran, now);
    first.step(store, now);
    CHECK(first.owner.isReleaseFinished());
    LONGS_EQUAL(asKeyTime(now) + 101, store.read(0)->until);
    now += 200_ms;
    takeOver();
    second.submit(running, now);
    CHECK(second.replies.at(0).result.outcome == Outcome::Unknown);
    second.submit(makeKey(asKeyTime(now), 2), now);
    LONGS_EQUAL(1, second.runs.size());
    // The old owner must not accept a key that now belongs to its successor.
    first.submit(makeKey(asKeyTime(now), 3), now);
    LONGS_EQUAL(1, first.runs.size());
}

// Guards against one node that owns all ranges permanently after a rolling restart.
TEST(KeyOwner, OwnerReturnsTheRangeToALivePreferredClaimant)
{
    auto const order = rendezvousOrder(configuration.value.fleet, "ownership/0");
    auto& owner = order[0] == "n1" ? second : first;
    auto& claimant = order[0] == "n1" ? first : second;
    if (store.read(0)->owner != owner.name) {
        now += 32000_ms;
        owner.owner.onRecord(*store.read(0), now);
        owner.step(store, now);
    }
    STRCMP_EQUAL(owner.name.c_str(), store.read(0)->owner.c_str());
    owner.alive.insert(claimant.name);
    auto const running = makeKey(asKeyTime(now) + 1, 1);
    owner.submit(running, now);
    for (auto const end = now + 5000_ms; now < end; now += 100_ms)
        owner.step(store, now);
    // A running command keeps the range at its owner.
    CHECK(store.read(0)->until > asKeyTime(now));
    owner.finish(owner.runs.at(0), Outcome::Ran, now);
    owner.step(store, now);
    LONGS_EQUAL(asKeyTime(now), store.read(0)->until);
    // Keys of the successor wait, the owner's own ones keep their result.
    now += 10_ms;
    owner.submit(makeKey(asKeyTime(now), 2), now);
    LONGS_EQUAL(1, owner.runs.size());
    claimant.owner.onRecord(*store.read(0), now);
    claimant.step(store, now);
    STRCMP_EQUAL(claimant.name.c_str(), store.read(0)->owner.c_str());
    claimant.submit(makeKey(asKeyTime(now), 2), now);
    LONGS_EQUAL(1, claimant.runs.size());
    owner.owner.onRecord(*store.read(0), now);
    STRCMP_EQUAL("not-owner", owner.replies.back().result.problem.type.c_str());
    owner.submit(running, now);
    CHECK(owner.replies.back().result.outcome == Outcome::Ran);
}

// Guards against a range without an owner when the preferred claimant does not claim it.
TEST(KeyOwner, OwnerExtendsAReturnedRangeThatNobodyClaims)
{
    auto const order = rendezvousOrder(configuration.value.fleet, "ownership/0");
    auto& owner = order[0] == "n1" ? second : first;
    if (store.read(0)->owner != owner.name) {
        now += 32000_ms;
        owner.owner.onRecord(*store.read(0), now);
        owner.step(store, now);
    }
    owner.alive.insert(order[0]);
    auto const limit = now + 10000_ms;
    while (store.read(0)->until > asKeyTime(now) && now < limit)
        owner.step(store, now += 100_ms);
    auto const returnedAt = now;
    CHECK(returnedAt < limit);
    while (store.read(0)->until <= asKeyTime(now) && now < limit)
        owner.step(store, now += 100_ms);
    CHECK(now - returnedAt <= 2200_ms);
    owner.submit(makeKey(asKeyTime(returnedAt) + 50, 1), now);
    LONGS_EQUAL(1, owner.runs.size());
    // It is not released again at once.
    for (auto const end = now + 20000_ms; now < end; now += 100_ms) {
        owner.step(store, now);
        CHECK(store.read(0)->until > asKeyTime(now));
    }
}

// Guards against a wrong result for a caller whose deadline ends before the command does.
TEST(KeyOwner, WaiterGetsUnknownAtItsDeadline)
{
    auto const key = makeKey(asKeyTime(now), 1);
    first.submit(key, now);
    first.step(store, now + 50_ms);
    CHECK(first.replies.at(0).result.outcome == Outcome::Unknown);
    first.finish(first.runs.at(0), Outcome::Ran, now + 60_ms);
    first.submit(key, now + 70_ms);
    CHECK(first.replies.at(1).result.outcome == Outcome::Ran);
}

// Guards against unbounded memory, and against a second run of a key that was evicted.
TEST(KeyOwner, OldKeysAreEvictedAndThenUnknown)
{
    auto const key = makeKey(asKeyTime(now), 1);
    first.submit(key, now);
    first.finish(first.runs.at(0), Outcome::Ran, now);
    LONGS_EQUAL(1, first.owner.describe()["rememberedKeys"].asUInt());
    now += 600001_ms;
    first.step(store, now);
    LONGS_EQUAL(0, first.owner.describe()["rememberedKeys"].asUInt());
    first.submit(key, now);
    LONGS_EQUAL(1, first.runs.size());
    CHECK(first.replies.at(1).result.outcome == Outcome::Unknown);
}

// Guards against a key that is reused for another request.
TEST(KeyOwner, ReusedKeyIsRefused)
{
    auto const key = makeKey(asKeyTime(now), 1);
    first.submit(key, now);
    CommandRequest other;
    other.requestKey = key;
    other.service = "s";
    other.record = "other";
    other.remaining = 50_ms;
    first.owner.submit("entry", std::move(other), now);
    LONGS_EQUAL(409, first.replies.at(0).result.status);
    LONGS_EQUAL(1, first.runs.size());
}

// Shows that the deduplication is what prevents second runs: without it a duplicate runs again.
TEST(KeyOwner, WithoutAtMostOnceADuplicateRuns)
{
    configuration.rule().atMostOnce = Feature::Off;
    first.owner.setConfiguration(configuration.pointer(), now);
    first.submit(makeKey(asKeyTime(now), 1), now, "a");
    first.submit(makeKey(asKeyTime(now), 1), now, "b");
    LONGS_EQUAL(2, first.runs.size());
}

namespace {

/// Random history of two nodes: restarts, pauses, lost and delayed write answers, and duplicates at both.
struct RandomKeyOwnerHistory {
    explicit RandomKeyOwnerHistory(uint32_t seed)
        : random(seed)
    {
        this->configuration.value.fleet.nodes["n2"] = { "n2", "d1" };
        this->configuration.value.fleet.keyRanges = 2;
        this->restart(0);
        this->restart(1);
    }

    uint32_t draw(uint32_t bound) { return std::uniform_int_distribution<uint32_t>(0, bound - 1)(this->random); }

    void restart(size_t index)
    {
        if (this->nodes[index])
            this->stopped.push_back(std::move(this->nodes[index]));
        this->nodes[index] = std::make_unique<KeyOwnerNode>(index == 0 ? "n1" : "n2", ++this->incarnation);
        this->nodes[index]->owner.setConfiguration(this->configuration.pointer(), this->now);
        // The nodes' views of each other differ, so ranges are also returned and extended again.
        if (this->draw(2))
            this->nodes[index]->alive.insert(index == 0 ? "n2" : "n1");
    }

    void handleWrites(KeyOwnerNode& node)
    {
        for (auto const& write : std::exchange(node.writes, {})) {
            switch (this->draw(6)) {
            case 0: // The write is lost.
                node.owner.onWriteResult(write.next.range, KeyOwner::WriteResult::Unknown, std::nullopt, this->now);
                break;
            case 1: // The write takes effect, its answer is lost.
                this->compareAndSwap(node, write);
                node.owner.onWriteResult(write.next.range, KeyOwner::WriteResult::Unknown, std::nullopt, this->now);
                break;
            case 2: // The write takes effect later.
                this->delayed.push_back(write);
                node.owner.onWriteResult(write.next.range, KeyOwner::WriteResult::Unknown, std::nullopt, this->now);
                break;
            default:
                this->answer(node, write);
            }
        }
    }

    bool compareAndSwap(KeyOwnerNode const& node, KeyOwnerNode::Write const& write)
    {
        auto const before = this->store.read(write.next.range);
        auto const accepted = this->store.compareAndSwap(write.next, write.expectedRevision);
        auto const shrinks = accepted && before && before->owner == node.name && write.next.until < before->until;
        this->releases += shrinks ? 1 : 0;
        this->extendedAgain += accepted && before && before->owner == node.name && before->from == write.next.from
                && before->until <= asKeyTime(this->now) && write.next.until > asKeyTime(this->now)
            ? 1
            : 0;
        return accepted;
    }

    void answer(KeyOwnerNode& node, KeyOwnerNode::Write const& write)
    {
        auto const accepted = this->compareAndSwap(node, write);
        auto const current = this->draw(2) == 0 ? this->store.read(write.next.range) : std::nullopt;
        node.owner.onWriteResult(write.next.range,
            accepted ? KeyOwner::WriteResult::Accepted : KeyOwner::WriteResult::Conflict, current, this->now);
    }

    void handleRuns(KeyOwnerNode& node)
    {
        for (auto const& command : std::exchange(node.runs, {})) {
            auto const outcome = this->draw(3) == 0 ? Outcome::NotRun : Outcome::Ran;
            if (outcome == Outcome::Ran)
                ++this->runCounts[command.requestKey];
            node.finish(command, outcome, this->now);
        }
        for (auto const& reply : std::exchange(node.replies, {})) {
            if (reply.result.outcome == Outcome::NotRun)
                this->notRun.insert(reply.result.requestKey);
        }
    }

    void step()
    {
        this->now += Milliseconds { static_cast<double>(this->draw(1500)) };
        auto const keyTime = asKeyTime(this->now) - 5000 + this->draw(40000);
        auto const key = this->keys.empty() || this->draw(2) == 0
            ? makeKey(keyTime, ++this->keyNumber)
            : this->keys[this->keys.size() - 1
                - this->draw(std::min<uint32_t>(50, static_cast<uint32_t>(this->keys.size())))];
        this->keys.push_back(key);
        if (!this->delayed.empty() && this->draw(4) == 0) {
            this->store.compareAndSwap(this->delayed.back().next, this->delayed.back().expectedRevision);
            this->delayed.pop_back();
        }
        for (auto& node : this->nodes) {
            if (this->draw(3) == 0)
                continue; // The node is paused.
            node->submit(key, this->now);
            this->handleRuns(*node);
            node->owner.advance(this->now, this->now);
            this->handleWrites(*node);
            if (auto const record = this->store.read(this->draw(2)); record && this->draw(3) == 0)
                node->owner.onRecord(*record, this->now);
            this->handleRuns(*node);
        }
        auto const event = this->draw(60);
        if (event < 2)
            this->restart(event);
        else if (event < 4)
            this->nodes[event - 2]->owner.release(this->now);
        else if (event < 6 && this->nodes[event - 4]->owner.isReleaseFinished())
            this->restart(event - 4);
        // The network may still deliver writes of processes that have ended.
        for (auto& node : this->stopped)
            this->delayed.insert(this->delayed.end(), node->writes.begin(), node->writes.end());
        this->stopped.clear();
    }

    TestConfiguration configuration;
    std::mt19937 random;
    InMemoryOwnershipStore store;
    Milliseconds now { 1000000 };
    uint64_t incarnation { 0 };
    uint32_t keyNumber { 0 };
    size_t releases { 0 };
    size_t extendedAgain { 0 };
    std::unique_ptr<KeyOwnerNode> nodes[2];
    std::vector<std::unique_ptr<KeyOwnerNode>> stopped;
    std::vector<KeyOwnerNode::Write> delayed;
    std::vector<std::string> keys;
    std::map<std::string, int> runCounts;
    std::set<std::string> notRun;
};

} // namespace

// Guards against a second run, or a run after "not run", under any order of pauses, restarts, stops, and lost or
// delayed writes.
TEST(KeyOwner, RandomHistoriesRunEachKeyAtMostOnce)
{
    size_t ran = 0;
    size_t refused = 0;
    size_t releases = 0;
    size_t extendedAgain = 0;
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        RandomKeyOwnerHistory history(seed);
        for (int step = 0; step < 2400; ++step)
            history.step();
        for (auto const& [key, count] : history.runCounts) {
            auto const text = "seed " + std::to_string(seed) + " key " + key;
            LONGS_EQUAL_TEXT(1, count, text.c_str());
            CHECK_FALSE_TEXT(history.notRun.contains(key), text.c_str());
        }
        releases += history.releases;
        extendedAgain += history.extendedAgain;
        ran += history.runCounts.size();
        refused += history.notRun.size();
    }
    // The histories are meaningful only when many keys ran and many were refused.
    CHECK(ran > 1000);
    CHECK(refused > 500);
    CHECK(releases > 100);
    CHECK(extendedAgain > 100);
}
