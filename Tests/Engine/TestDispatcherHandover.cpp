#include "EngineFixtures.h"

#include "Engine/Dispatcher.h"
#include "Engine/DispatcherAssignment.h"
#include "Engine/DispatcherHandover.h"

#include <algorithm>
#include <random>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static TestConfiguration createConfiguration(std::vector<std::string> const& nodes, uint32_t dispatchers = 2)
{
    TestConfiguration result { 1 };
    result.value.fleet.nodes.clear();
    for (auto const& name : nodes)
        result.value.fleet.nodes[name] = { name, "d1" };
    result.value.fleet.dispatchersPerTarget = dispatchers;
    return result;
}

/// Connection share of a node; 0 when it is not a candidate.
static uint32_t shareOf(DispatcherHandover const& handover, TestConfiguration const& configuration,
    std::string const& node, Milliseconds now)
{
    auto const& target = configuration.value.services.at("s").targets.at("a");
    auto const names = dispatcherCandidates(configuration.value.fleet, target, node);
    return std::ranges::find(names, node) == names.end() ? 0 : handover.share(target, now);
}

TEST_GROUP(DispatcherHandover)
{
    Milliseconds now { 1000 };
    TestConfiguration before = createConfiguration({ "n1", "n2", "n3" });
    /// Roster in which the first candidate is replaced by a node that was not a candidate.
    TestConfiguration after = before;
    std::string previous;
    std::string kept;
    std::string added;

    void setup() override
    {
        auto const candidates = dispatcherCandidates(before.value.fleet, before.target("a"), "");
        previous = candidates[0];
        kept = candidates[1];
        after.value.fleet.nodes.erase(previous);
        for (auto const& [name, node] : after.value.fleet.nodes) {
            if (name != kept)
                added = name;
        }
    }
    uint32_t shareAfter(std::string const& node, Milliseconds passed)
    {
        DispatcherHandover handover(node);
        handover.setConfiguration(before.pointer(), now);
        handover.setConfiguration(after.pointer(), now);
        return shareOf(handover, after, node, now + passed);
    }
};

// Guards against a new dispatcher that dials while a previous one, which has not received the change yet, still does.
TEST(DispatcherHandover, NewDispatcherWaitsUntilPreviousOnesHaveClosed)
{
    LONGS_EQUAL(0, shareAfter(added, 0_ms));
    LONGS_EQUAL(0, shareAfter(added, 3000_ms));
    LONGS_EQUAL(8, shareAfter(added, 3100_ms));
    LONGS_EQUAL(8, shareAfter(kept, 0_ms));
    LONGS_EQUAL(0, shareAfter(previous, 0_ms));
}

// Guards against a raised share while another dispatcher still holds its old one.
TEST(DispatcherHandover, LargerShareAppliesAfterTheHandoverAndASmallerOneAtOnce)
{
    after = before;
    after.value.fleet.dispatchersPerTarget = 1;
    LONGS_EQUAL(8, shareAfter(previous, 0_ms));
    LONGS_EQUAL(12, shareAfter(previous, 3100_ms));
    after.value.fleet.dispatchersPerTarget = 3;
    LONGS_EQUAL(6, shareAfter(previous, 0_ms));
}

// Guards against a target that no node may dial when all its dispatchers change at once.
TEST(DispatcherHandover, NewDispatchersDivideTheSpareShareWhenNoPreviousOneRemains)
{
    after = createConfiguration({ "n4", "n5" });
    LONGS_EQUAL(4, shareAfter("n4", 0_ms));
    LONGS_EQUAL(4, shareAfter("n5", 0_ms));
    LONGS_EQUAL(8, shareAfter("n5", 3100_ms));
}

// Guards against a dial delay for targets that no node can have dialled.
TEST(DispatcherHandover, NewAddressAndFirstConfigurationNeedNoDelay)
{
    after.target("a").address = "127.0.0.1:9002";
    LONGS_EQUAL(8, shareAfter(added, 0_ms));
    DispatcherHandover fresh(added);
    fresh.setConfiguration(after.pointer(), now);
    LONGS_EQUAL(8, shareOf(fresh, after, added, now));
}

// Guards against connections that stay open when the node is no longer a dispatcher of the target, and against early
// dials.
TEST(DispatcherHandover, DispatcherReportsItsShares)
{
    std::vector<std::pair<std::string, uint32_t>> limits;
    Dispatcher::Hooks hooks;
    hooks.limitConnections = [&](std::string const& address, uint32_t share) { limits.emplace_back(address, share); };
    hooks.pollStatus = [](std::string const&, std::string const&) {};
    hooks.random = [] { return 0.5; };
    Dispatcher previousDispatcher(hooks, previous);
    previousDispatcher.setConfiguration(before.pointer(), now);
    previousDispatcher.setConfiguration(after.pointer(), now);
    LONGS_EQUAL(2, limits.size());
    LONGS_EQUAL(8, limits[0].second);
    LONGS_EQUAL(0, limits[1].second);
    limits.clear();
    Dispatcher addedDispatcher(hooks, added);
    addedDispatcher.setConfiguration(before.pointer(), now);
    addedDispatcher.setConfiguration(after.pointer(), now);
    addedDispatcher.advance(now + 3000_ms);
    LONGS_EQUAL(0, limits.size());
    CHECK(addedDispatcher.nextWakeup() < now + 3100_ms);
    addedDispatcher.advance(now + 3100_ms);
    LONGS_EQUAL(1, limits.size());
    LONGS_EQUAL(8, limits[0].second);
}

namespace {

/// A node that holds all the connections it may; a running exchange keeps a connection open for up to the rule's
/// deadline.
struct SaturatedNode {
    std::string name;
    DispatcherHandover handover;
    Milliseconds installAt;
    std::vector<std::pair<Milliseconds, uint32_t>> lastShares {};

    uint32_t held(Milliseconds now, Milliseconds deadline)
    {
        std::erase_if(this->lastShares, [&](auto const& entry) { return entry.first + deadline < now; });
        return std::ranges::max_element(this->lastShares, {}, &std::pair<Milliseconds, uint32_t>::second)->second;
    }
};

} // namespace

// Guards against more connections than the target accepts, whatever the order in which nodes install changed rosters.
TEST(DispatcherHandover, RandomRosterChangesKeepTheLimit)
{
    std::mt19937_64 random(7);
    auto const pick = [&](int below) { return static_cast<int>(random() % static_cast<uint64_t>(below)); };
    auto const randomFleet = [&] {
        std::vector<std::string> names;
        for (int number = 0; number < 8; ++number) {
            if (pick(2))
                names.push_back("n" + std::to_string(number));
        }
        if (names.empty())
            names.emplace_back("n0");
        return createConfiguration(names, static_cast<uint32_t>(1 + pick(4)));
    };
    for (int round = 0; round < 300; ++round) {
        Milliseconds now { 1000 };
        auto current = randomFleet();
        std::vector<SaturatedNode> nodes;
        for (int number = 0; number < 8; ++number) {
            auto const name = "n" + std::to_string(number);
            nodes.push_back({ name, DispatcherHandover(name), now });
            nodes.back().handover.setConfiguration(current.pointer(), now);
        }
        // The limit holds only if each change is made after the handover of the previous one has ended.
        for (int change = 0; change < 3; ++change) {
            auto const next = randomFleet();
            for (auto& node : nodes)
                node.installAt = now + Milliseconds { static_cast<double>(pick(30)) } * 100;
            for (auto const end = now + 6500_ms; now < end; now += 50_ms) {
                uint32_t sum = 0;
                for (auto& node : nodes) {
                    if (now >= node.installAt) {
                        node.handover.setConfiguration(next.pointer(), now);
                        node.installAt = Milliseconds { 1e12 };
                    }
                    auto const& fleet = node.installAt < Milliseconds { 1e12 } ? current : next;
                    node.lastShares.emplace_back(now, shareOf(node.handover, fleet, node.name, now));
                    sum += node.held(now, 59_ms);
                }
                CHECK_TRUE(sum <= 25);
            }
            current = next;
        }
    }
}
