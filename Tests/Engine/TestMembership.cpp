#include "Engine/Membership.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static std::string nameOf(size_t index) { return "n" + std::to_string(index); }

static Peer createPeer(size_t index, PeerState state = PeerState::Alive, uint64_t incarnation = 100)
{
    return { nameOf(index), "127.0.0.1:" + std::to_string(1000 + index), "d", incarnation, state };
}

/// One membership on simulated time. Peers answer probes after 2 ms unless they are frozen or cut off.
class MembershipBench {
public:
    explicit MembershipBench(size_t peers)
    {
        Membership::Hooks hooks;
        hooks.sendProbe = [this](std::string const& peer, std::string const& via, uint64_t number) {
            ++(via.empty() ? this->directProbes : this->indirectProbes);
            ++this->probesInStep;
            std::string const& receiver = via.empty() ? peer : via;
            if (this->cut.contains(receiver) || this->frozen.contains(receiver) || this->frozen.contains(peer))
                return;
            this->answers.emplace(this->now + 2_ms, Answer { peer, number, via.empty() });
        };
        hooks.stateChanged = [this](Peer const& peer) { ++this->changes[peer.name]; };
        hooks.random = [this] { return std::uniform_real_distribution<double>(0, 1)(this->generator); };
        this->membership = std::make_unique<Membership>(hooks, createPeer(0));
        std::vector<Peer> seeds;
        for (size_t index = 1; index <= peers; ++index)
            seeds.emplace_back(createPeer(index, PeerState::Unknown));
        this->membership->seed(seeds, this->now);
    }

    void run(Milliseconds duration)
    {
        Milliseconds const end = this->now + duration;
        while (this->now < end) {
            this->now += 1_ms;
            this->probesInStep = 0;
            while (!this->answers.empty() && this->answers.begin()->first <= this->now)
                this->deliver();
            if (this->membership->nextWakeup() <= this->now)
                this->membership->advance(this->now);
            this->mostProbesInStep = std::max(this->mostProbesInStep, this->probesInStep);
        }
    }

    /// Time until a condition holds, or the bound.
    Milliseconds runUntil(std::function<bool()> const& condition, Milliseconds bound)
    {
        Milliseconds const start = this->now;
        while (!condition() && this->now - start < bound)
            this->run(1_ms);
        return this->now - start;
    }

    PeerState state(size_t index) const { return this->membership->find(nameOf(index))->state; }

    std::unique_ptr<Membership> membership;
    Milliseconds now;
    /// Peers that answer nobody.
    std::set<std::string> frozen;
    /// Peers that this node does not reach, but others do.
    std::set<std::string> cut;
    std::map<std::string, size_t> changes;
    size_t directProbes { 0 };
    size_t indirectProbes { 0 };
    size_t mostProbesInStep { 0 };

private:
    struct Answer {
        std::string peer;
        uint64_t number { 0 };
        bool direct { true };
    };

    void deliver()
    {
        Answer const answer = this->answers.begin()->second;
        this->answers.erase(this->answers.begin());
        if (answer.direct)
            this->membership->onPeerMessage(
                createPeer(static_cast<size_t>(std::stoul(answer.peer.substr(1)))), this->now);
        this->membership->onProbeAnswer(answer.peer, answer.number, this->now);
    }

    std::mt19937 generator { 11 };
    std::multimap<Milliseconds, Answer> answers;
    size_t probesInStep { 0 };
};

TEST_GROUP(Membership) {};

TEST(Membership, SeedsBecomeAliveWithinASecond)
{
    MembershipBench bench(6);
    CHECK(bench.state(1) == PeerState::Unknown);
    CHECK(!bench.membership->usable("n1"));
    CHECK_EQUAL(3, bench.membership->randomPeers(3).size());
    bench.run(1000_ms);
    for (size_t index = 1; index <= 6; ++index)
        CHECK(bench.membership->usable(nameOf(index)));
}

// Guards against a control cost that grows with the fleet.
TEST(Membership, ProbesCostTheSameAtSevenAndFourHundredAndSeventyPeers)
{
    for (size_t const peers : { size_t { 7 }, size_t { 470 } }) {
        MembershipBench bench(peers);
        bench.run(15000_ms);
        CHECK(bench.mostProbesInStep <= 5);
        bench.directProbes = 0;
        bench.run(10000_ms);
        CHECK_EQUAL(20, bench.directProbes);
        CHECK_EQUAL(0, bench.indirectProbes);
    }
}

// Guards against routing to a process that is stopped but whose connections stand.
TEST(Membership, FrozenPeerIsDeadWithinOneAndAHalfSecondsOfItsProbeAndComesBackWhenHeard)
{
    MembershipBench bench(1);
    bench.run(1000_ms);
    CHECK(bench.state(1) == PeerState::Alive);
    bench.frozen.insert("n1");
    Milliseconds const suspected = bench.runUntil([&] { return bench.state(1) == PeerState::Suspect; }, 5000_ms);
    CHECK(suspected <= 810_ms);
    CHECK(bench.membership->usable("n1"));
    Milliseconds const died = bench.runUntil([&] { return bench.state(1) == PeerState::Dead; }, 5000_ms);
    CHECK(suspected + died <= 1810_ms);
    CHECK(!bench.membership->usable("n1"));
    bench.run(10000_ms);
    CHECK(bench.state(1) == PeerState::Dead);
    bench.frozen.clear();
    bench.membership->onPeerMessage(createPeer(1), bench.now);
    CHECK(bench.state(1) == PeerState::Alive);
    CHECK(bench.membership->usable("n1"));
}

// Guards against detection that takes minutes because each node probes one of 470 peers at random.
TEST(Membership, RumouredPeerIsProbedAtOnceAndJudgedByThatProbe)
{
    MembershipBench bench(470);
    bench.run(20000_ms);
    bench.frozen.insert("n1");
    bench.membership->onGossip(createPeer(1, PeerState::Suspect), bench.now);
    bench.membership->onGossip(createPeer(2, PeerState::Suspect), bench.now);
    bench.membership->onGossip(createPeer(3, PeerState::Dead), bench.now);
    CHECK(bench.state(1) == PeerState::Alive);
    bench.run(1100_ms);
    CHECK(bench.state(1) == PeerState::Dead);
    CHECK(bench.state(2) == PeerState::Alive);
    CHECK(bench.state(3) == PeerState::Alive);
    CHECK(bench.changes["n2"] == 1);
}

// Guards against declaring a peer dead because of one broken path.
TEST(Membership, PeerThatOthersReachStaysAliveButGetsNoWork)
{
    MembershipBench bench(6);
    bench.run(2000_ms);
    bench.cut.insert("n1");
    bench.run(20000_ms);
    CHECK(bench.indirectProbes > 0);
    CHECK(bench.state(1) != PeerState::Dead);
    CHECK(!bench.membership->usable("n1"));
    bench.cut.clear();
    bench.runUntil([&] { return bench.membership->usable("n1"); }, 20000_ms);
    CHECK(bench.membership->usable("n1"));
}

TEST(Membership, BrokenConnectionEndsRoutingAtOnceUntilAFrameArrives)
{
    MembershipBench bench(2);
    bench.run(1000_ms);
    bench.membership->onConnectionBroken("n1", bench.now);
    CHECK(!bench.membership->usable("n1"));
    CHECK(bench.membership->usable("n2"));
    bench.membership->onPeerMessage(createPeer(1), bench.now);
    CHECK(bench.membership->usable("n1"));
}

// Guards against losing working peers to a list that is minutes old.
TEST(Membership, LaggingVmListDoesNotKillAPeerThatIsHeard)
{
    MembershipBench bench(2);
    bench.run(1000_ms);
    VmEntry leaving { "n1", "127.0.0.1:9", "d", VmEntry::State::Leaving };
    bench.membership->onPeerMessage(createPeer(1), bench.now);
    bench.membership->onVmList({ leaving }, bench.now);
    CHECK(bench.state(1) == PeerState::Alive);
    STRCMP_EQUAL("127.0.0.1:1001", bench.membership->find("n1")->address.c_str());
    // The list names n2 no longer, which says nothing about it.
    CHECK(bench.state(2) == PeerState::Alive);
    bench.frozen.insert("n1");
    bench.run(8000_ms);
    bench.membership->onVmList({ leaving }, bench.now);
    CHECK(bench.state(1) == PeerState::Leaving);
    bench.membership->onPeerMessage(createPeer(1), bench.now);
    CHECK(bench.state(1) == PeerState::Alive);
}

TEST(Membership, VmListAddsPeersThatAreThenProbed)
{
    MembershipBench bench(0);
    bench.membership->onVmList({ { "n5", "127.0.0.1:1005", "d", VmEntry::State::Live } }, bench.now);
    CHECK(bench.state(5) == PeerState::Unknown);
    bench.run(200_ms);
    CHECK(bench.state(5) == PeerState::Alive);
}

// Guards against new work for a peer that shuts down while its last frames still arrive.
TEST(Membership, LeavingByOwnWordLastsForTheIncarnation)
{
    MembershipBench bench(2);
    bench.run(1000_ms);
    bench.membership->onPeerMessage(createPeer(1, PeerState::Leaving), bench.now);
    CHECK(!bench.membership->usable("n1"));
    bench.membership->onPeerMessage(createPeer(1, PeerState::Alive), bench.now);
    CHECK(bench.state(1) == PeerState::Leaving);
    bench.membership->onPeerMessage(createPeer(1, PeerState::Alive, 200), bench.now);
    CHECK(bench.membership->usable("n1"));
}

// Guards against late frames of an old VM that undo what its successor of the same name announced.
TEST(Membership, LowerIncarnationIsIgnored)
{
    MembershipBench bench(1);
    Peer successor = createPeer(1, PeerState::Alive, 200);
    successor.address = "127.0.0.1:2001";
    bench.membership->onPeerMessage(successor, bench.now);
    bench.membership->onPeerMessage(createPeer(1, PeerState::Leaving, 100), bench.now);
    bench.membership->onGossip(createPeer(1, PeerState::Dead, 100), bench.now);
    CHECK(bench.state(1) == PeerState::Alive);
    STRCMP_EQUAL("127.0.0.1:2001", bench.membership->find("n1")->address.c_str());
}

TEST(Membership, RumourOfANewPeerMakesItUsable)
{
    MembershipBench bench(1);
    bench.membership->onGossip(createPeer(9), bench.now);
    CHECK(bench.membership->usable("n9"));
}

TEST(Membership, ChoosesDistinctUsablePeers)
{
    MembershipBench bench(10);
    bench.run(2000_ms);
    bench.membership->onPeerMessage(createPeer(1, PeerState::Leaving), bench.now);
    for (size_t round = 0; round < 100; ++round) {
        auto const names = bench.membership->randomPeers(4);
        CHECK_EQUAL(4, names.size());
        CHECK_EQUAL(4, (std::set<std::string>(names.begin(), names.end()).size()));
        CHECK(std::find(names.begin(), names.end(), "n1") == names.end());
        CHECK(std::find(names.begin(), names.end(), "n0") == names.end());
    }
    CHECK_EQUAL(9, bench.membership->randomPeers(50).size());
}

// Guards against digests that grow with the fleet or that never mention unchanged members.
TEST(Membership, DigestEntriesAreBoundedAndStartWithTheLastChange)
{
    MembershipBench bench(50);
    bench.run(5000_ms);
    bench.membership->onPeerMessage(createPeer(7, PeerState::Leaving), bench.now);
    std::set<std::string> seen;
    for (size_t round = 0; round < 200; ++round) {
        auto const entries = bench.membership->digestEntries(8);
        CHECK_EQUAL(8, entries.size());
        STRCMP_EQUAL("n7", entries.front().name.c_str());
        for (auto const& entry : entries)
            seen.insert(entry.name);
    }
    CHECK_EQUAL(50, seen.size());
}

// Guards against a region that is cut off for minutes and is never found again.
TEST(Membership, DeadPeersAreFoundAgainAfterAPartition)
{
    MembershipBench bench(6);
    bench.run(1000_ms);
    for (size_t index = 1; index <= 6; ++index)
        bench.frozen.insert(nameOf(index));
    bench.run(60000_ms);
    for (size_t index = 1; index <= 6; ++index)
        CHECK(bench.state(index) == PeerState::Dead);
    bench.frozen.clear();
    bench.run(20000_ms);
    for (size_t index = 1; index <= 6; ++index)
        CHECK(bench.membership->usable(nameOf(index)));
}
