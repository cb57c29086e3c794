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

/// One membership on simulated time. Peers answer probes after 2 ms unless they are unresponsive or unreachable.
class MembershipSimulation {
public:
    explicit MembershipSimulation(size_t peers)
    {
        Membership::Hooks hooks;
        hooks.sendProbe = [this](std::string const& peer, std::string const& via, uint64_t number) {
            ++(via.empty() ? this->directProbes : this->indirectProbes);
            ++this->probesInStep;
            std::string const& receiver = via.empty() ? peer : via;
            if (this->unreachable.contains(receiver) || this->unresponsive.contains(receiver)
                || this->unresponsive.contains(peer))
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
            this->maximumProbesInStep = std::max(this->maximumProbesInStep, this->probesInStep);
        }
    }

    /// Runs until the condition holds or `bound` has passed; returns the elapsed time.
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
    /// Peers that answer no node.
    std::set<std::string> unresponsive;
    /// Peers that this node does not reach, but other nodes do.
    std::set<std::string> unreachable;
    std::map<std::string, size_t> changes;
    size_t directProbes { 0 };
    size_t indirectProbes { 0 };
    size_t maximumProbesInStep { 0 };

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
    MembershipSimulation simulation(6);
    CHECK(simulation.state(1) == PeerState::Unknown);
    CHECK(!simulation.membership->usable("n1"));
    CHECK_EQUAL(3, simulation.membership->randomPeers(3).size());
    simulation.run(1000_ms);
    for (size_t index = 1; index <= 6; ++index)
        CHECK(simulation.membership->usable(nameOf(index)));
}

// Guards against control traffic that grows with the fleet.
TEST(Membership, ProbeRateDoesNotDependOnTheNumberOfPeers)
{
    for (size_t const peers : { size_t { 7 }, size_t { 470 } }) {
        MembershipSimulation simulation(peers);
        simulation.run(15000_ms);
        CHECK(simulation.maximumProbesInStep <= 5);
        simulation.directProbes = 0;
        simulation.run(10000_ms);
        CHECK_EQUAL(20, simulation.directProbes);
        CHECK_EQUAL(0, simulation.indirectProbes);
    }
}

// Guards against routing to a process that is suspended while its connections stay open.
TEST(Membership, UnresponsivePeerIsDeadWithinOneAndAHalfSecondsOfItsProbeAndAliveAgainAfterAFrame)
{
    MembershipSimulation simulation(1);
    simulation.run(1000_ms);
    CHECK(simulation.state(1) == PeerState::Alive);
    simulation.unresponsive.insert("n1");
    Milliseconds const suspected
        = simulation.runUntil([&] { return simulation.state(1) == PeerState::Suspect; }, 5000_ms);
    CHECK(suspected <= 810_ms);
    CHECK(simulation.membership->usable("n1"));
    Milliseconds const died = simulation.runUntil([&] { return simulation.state(1) == PeerState::Dead; }, 5000_ms);
    CHECK(suspected + died <= 1810_ms);
    CHECK(!simulation.membership->usable("n1"));
    simulation.run(10000_ms);
    CHECK(simulation.state(1) == PeerState::Dead);
    simulation.unresponsive.clear();
    simulation.membership->onPeerMessage(createPeer(1), simulation.now);
    CHECK(simulation.state(1) == PeerState::Alive);
    CHECK(simulation.membership->usable("n1"));
}

// Guards against detection that takes minutes because each node probes one of 470 peers at random.
TEST(Membership, PeerReportedInADigestIsProbedAtOnceAndDeadOnlyIfTheProbeFails)
{
    MembershipSimulation simulation(470);
    simulation.run(20000_ms);
    simulation.unresponsive.insert("n1");
    simulation.membership->onDigestEntry(createPeer(1, PeerState::Suspect), simulation.now);
    simulation.membership->onDigestEntry(createPeer(2, PeerState::Suspect), simulation.now);
    simulation.membership->onDigestEntry(createPeer(3, PeerState::Dead), simulation.now);
    CHECK(simulation.state(1) == PeerState::Alive);
    simulation.run(1100_ms);
    CHECK(simulation.state(1) == PeerState::Dead);
    CHECK(simulation.state(2) == PeerState::Alive);
    CHECK(simulation.state(3) == PeerState::Alive);
    CHECK(simulation.changes["n2"] == 1);
}

// Guards against declaring a peer dead because of one broken path.
TEST(Membership, PeerThatOnlyOthersReachIsNotDeadAndNotUsable)
{
    MembershipSimulation simulation(6);
    simulation.run(2000_ms);
    simulation.unreachable.insert("n1");
    simulation.run(20000_ms);
    CHECK(simulation.indirectProbes > 0);
    CHECK(simulation.state(1) != PeerState::Dead);
    CHECK(!simulation.membership->usable("n1"));
    simulation.unreachable.clear();
    simulation.runUntil([&] { return simulation.membership->usable("n1"); }, 20000_ms);
    CHECK(simulation.membership->usable("n1"));
}

TEST(Membership, BrokenConnectionEndsRoutingAtOnceUntilAFrameArrives)
{
    MembershipSimulation simulation(2);
    simulation.run(1000_ms);
    simulation.membership->onConnectionLost("n1", simulation.now);
    CHECK(!simulation.membership->usable("n1"));
    CHECK(simulation.membership->usable("n2"));
    simulation.membership->onPeerMessage(createPeer(1), simulation.now);
    CHECK(simulation.membership->usable("n1"));
}

// Guards against dropping working peers because of a VM list that is minutes old.
TEST(Membership, LaggingVmListDoesNotOverrideFramesOfThePeer)
{
    MembershipSimulation simulation(2);
    simulation.run(1000_ms);
    VmEntry leaving { "n1", "127.0.0.1:9", "d", VmEntry::State::Leaving };
    simulation.membership->onPeerMessage(createPeer(1), simulation.now);
    simulation.membership->onVmList({ leaving }, simulation.now);
    CHECK(simulation.state(1) == PeerState::Alive);
    STRCMP_EQUAL("127.0.0.1:1001", simulation.membership->find("n1")->address.c_str());
    // The list no longer contains n2, which does not change its state.
    CHECK(simulation.state(2) == PeerState::Alive);
    simulation.unresponsive.insert("n1");
    simulation.run(8000_ms);
    simulation.membership->onVmList({ leaving }, simulation.now);
    CHECK(simulation.state(1) == PeerState::Leaving);
    simulation.membership->onPeerMessage(createPeer(1), simulation.now);
    CHECK(simulation.state(1) == PeerState::Alive);
}

TEST(Membership, VmListAddsPeersThatAreThenProbed)
{
    MembershipSimulation simulation(0);
    simulation.membership->onVmList({ { "n5", "127.0.0.1:1005", "d", VmEntry::State::Live } }, simulation.now);
    CHECK(simulation.state(5) == PeerState::Unknown);
    simulation.run(200_ms);
    CHECK(simulation.state(5) == PeerState::Alive);
}

// Guards against new work for a peer that shuts down while its last frames still arrive.
TEST(Membership, AnnouncedLeavingLastsForTheIncarnation)
{
    MembershipSimulation simulation(2);
    simulation.run(1000_ms);
    simulation.membership->onPeerMessage(createPeer(1, PeerState::Leaving), simulation.now);
    CHECK(!simulation.membership->usable("n1"));
    simulation.membership->onPeerMessage(createPeer(1, PeerState::Alive), simulation.now);
    CHECK(simulation.state(1) == PeerState::Leaving);
    simulation.membership->onPeerMessage(createPeer(1, PeerState::Alive, 200), simulation.now);
    CHECK(simulation.membership->usable("n1"));
}

// Guards against late frames of an old VM that override what its successor of the same name announced.
TEST(Membership, LowerIncarnationIsIgnored)
{
    MembershipSimulation simulation(1);
    Peer successor = createPeer(1, PeerState::Alive, 200);
    successor.address = "127.0.0.1:2001";
    simulation.membership->onPeerMessage(successor, simulation.now);
    simulation.membership->onPeerMessage(createPeer(1, PeerState::Leaving, 100), simulation.now);
    simulation.membership->onDigestEntry(createPeer(1, PeerState::Dead, 100), simulation.now);
    CHECK(simulation.state(1) == PeerState::Alive);
    STRCMP_EQUAL("127.0.0.1:2001", simulation.membership->find("n1")->address.c_str());
}

TEST(Membership, DigestEntryOfANewPeerMakesItUsable)
{
    MembershipSimulation simulation(1);
    simulation.membership->onDigestEntry(createPeer(9), simulation.now);
    CHECK(simulation.membership->usable("n9"));
}

TEST(Membership, ChoosesDistinctUsablePeers)
{
    MembershipSimulation simulation(10);
    simulation.run(2000_ms);
    simulation.membership->onPeerMessage(createPeer(1, PeerState::Leaving), simulation.now);
    for (size_t round = 0; round < 100; ++round) {
        auto const names = simulation.membership->randomPeers(4);
        CHECK_EQUAL(4, names.size());
        CHECK_EQUAL(4, (std::set<std::string>(names.begin(), names.end()).size()));
        CHECK(std::find(names.begin(), names.end(), "n1") == names.end());
        CHECK(std::find(names.begin(), names.end(), "n0") == names.end());
    }
    CHECK_EQUAL(9, simulation.membership->randomPeers(50).size());
}

// Guards against digests that grow with the fleet or that never mention unchanged members.
TEST(Membership, DigestEntriesAreBoundedAndStartWithTheLastChange)
{
    MembershipSimulation simulation(50);
    simulation.run(5000_ms);
    simulation.membership->onPeerMessage(createPeer(7, PeerState::Leaving), simulation.now);
    std::set<std::string> seen;
    for (size_t round = 0; round < 200; ++round) {
        auto const entries = simulation.membership->digestEntries(8);
        CHECK_EQUAL(8, entries.size());
        STRCMP_EQUAL("n7", entries.front().name.c_str());
        for (auto const& entry : entries)
            seen.insert(entry.name);
    }
    CHECK_EQUAL(50, seen.size());
}

// Guards against peers that are partitioned for minutes and never contacted again.
TEST(Membership, DeadPeersAreFoundAgainAfterAPartition)
{
    MembershipSimulation simulation(6);
    simulation.run(1000_ms);
    for (size_t index = 1; index <= 6; ++index)
        simulation.unresponsive.insert(nameOf(index));
    simulation.run(60000_ms);
    for (size_t index = 1; index <= 6; ++index)
        CHECK(simulation.state(index) == PeerState::Dead);
    simulation.unresponsive.clear();
    simulation.run(20000_ms);
    for (size_t index = 1; index <= 6; ++index)
        CHECK(simulation.membership->usable(nameOf(index)));
}
