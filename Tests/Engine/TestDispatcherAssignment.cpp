#include "Engine/DispatcherAssignment.h"

#include <algorithm>
#include <array>
#include <set>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static FleetDefinition createFleet(size_t nodes, size_t domains)
{
    FleetDefinition fleet;
    for (size_t index = 0; index < nodes; ++index) {
        std::string const name = "entry-" + std::to_string(index);
        fleet.nodes[name] = { name, "domain-" + std::to_string(index % domains) };
    }
    return fleet;
}

static TargetDefinition createTarget(size_t index, size_t domains, uint32_t connections = 25)
{
    TargetDefinition target;
    target.name = "target-" + std::to_string(index);
    target.failureDomain = "domain-" + std::to_string(index % domains);
    target.connections = connections;
    return target;
}

TEST_GROUP(DispatcherAssignment) {
    /// Maximum over all nodes of the number of targets that have the node among their first `candidatesCounted`
    /// candidates, divided by the mean of its failure domain.
    static double worstImbalance(FleetDefinition const& fleet, size_t targets, size_t domains,
        size_t candidatesCounted) { std::map<std::string, std::map<std::string, double>> load;
for (auto const& [name, node] : fleet.nodes)
    load[node.failureDomain][name] = 0;
for (size_t index = 0; index < targets; ++index) {
    auto const candidates = dispatcherCandidates(fleet, createTarget(index, domains), "");
    for (size_t rank = 0; rank < candidatesCounted; ++rank)
        ++load[fleet.nodes.at(candidates[rank]).failureDomain][candidates[rank]];
}
double worst = 0;
for (auto const& [domain, nodes] : load) {
    double sum = 0;
    double maximum = 0;
    for (auto const& [name, count] : nodes) {
        sum += count;
        maximum = std::max(maximum, count);
    }
    worst = std::max(worst, maximum / (sum / static_cast<double>(nodes.size())));
}
return worst;
}
}
;

// Guards against more dialling nodes than the connection share was computed for.
TEST(DispatcherAssignment, CandidatesAreDistinctAndTheSameOnEveryNode)
{
    FleetDefinition const fleet = createFleet(7, 4);
    for (size_t index = 0; index < 50; ++index) {
        TargetDefinition const target = createTarget(index, 4);
        auto const candidates = dispatcherCandidates(fleet, target, "entry-0");
        CHECK_EQUAL(3, candidates.size());
        CHECK_EQUAL(3, (std::set<std::string>(candidates.begin(), candidates.end()).size()));
        for (auto const& [name, node] : fleet.nodes)
            CHECK(candidates == dispatcherCandidates(fleet, target, name));
    }
}

// Guards against losing all dispatchers of a target when one other failure domain fails.
TEST(DispatcherAssignment, OwnDomainComesFirstThenOneNodeOfEachFurtherDomain)
{
    FleetDefinition fleet = createFleet(7, 4);
    fleet.dispatchersPerTarget = 7;
    for (size_t index = 0; index < 50; ++index) {
        TargetDefinition const target = createTarget(index, 4);
        auto const candidates = dispatcherCandidates(fleet, target, "");
        size_t const local = index % 4 == 3 ? 1 : 2;
        std::set<std::string> further;
        for (size_t rank = 0; rank < local + 3; ++rank) {
            std::string const& domain = fleet.nodes.at(candidates[rank]).failureDomain;
            CHECK_EQUAL(rank < local, domain == target.failureDomain);
            if (rank >= local)
                further.insert(domain);
        }
        CHECK_EQUAL(3, further.size());
    }
}

// Guards against a change of the roster that moves the dispatchers of unrelated targets.
TEST(DispatcherAssignment, RemovingANodeMovesOnlyItsTargets)
{
    FleetDefinition const fleet = createFleet(7, 4);
    FleetDefinition smaller = fleet;
    smaller.nodes.erase("entry-2");
    for (size_t index = 0; index < 200; ++index) {
        TargetDefinition const target = createTarget(index, 4);
        auto const before = dispatcherCandidates(fleet, target, "");
        if (std::find(before.begin(), before.end(), "entry-2") != before.end())
            continue;
        CHECK(before == dispatcherCandidates(smaller, target, ""));
    }
}

// Guards against refused connections: all candidates, and one VM that still runs together with its successor, dial at
// the same time. A node that is not in the roster (n+1) never dials.
TEST(DispatcherAssignment, AllHoldersTogetherStayWithinTheTargetsConnections)
{
    for (size_t const nodes : { 1, 2, 3, 7, 8, 70, 470 }) {
        for (Routing const routing : { Routing::Dispatched, Routing::Direct }) {
            FleetDefinition fleet = createFleet(nodes, 4);
            fleet.routing = routing;
            for (uint32_t const connections : { 1U, 3U, 4U, 5U, 25U, 35U, 40U, 100U, 471U, 1000U }) {
                TargetDefinition const target = createTarget(0, 4, connections);
                auto const candidates = dispatcherCandidates(fleet, target, "entry-new");
                CHECK(std::find(candidates.begin(), candidates.end(), "entry-new") == candidates.end());
                uint32_t const share = connectionShare(fleet, target);
                CHECK((candidates.size() + 1) * share <= connections);
                CHECK_EQUAL(connections < candidates.size() + 1, share == 0);
            }
        }
    }
}

TEST(DispatcherAssignment, SharesOfSevenNodesAreAboveTheSlots)
{
    FleetDefinition const fleet = createFleet(7, 4);
    CHECK_EQUAL(6, connectionShare(fleet, createTarget(0, 4, 25)));
    CHECK_EQUAL(25, connectionShare(fleet, createTarget(0, 4, 100)));
    CHECK_EQUAL(10, connectionShare(fleet, createTarget(0, 4, 40)));
    CHECK_EQUAL(8, connectionShare(fleet, createTarget(0, 4, 35)));
}

TEST(DispatcherAssignment, DirectRoutingPutsTheNodeItselfFirst)
{
    FleetDefinition fleet = createFleet(7, 4);
    fleet.routing = Routing::Direct;
    auto const candidates = dispatcherCandidates(fleet, createTarget(1, 4), "entry-5");
    CHECK_EQUAL(7, candidates.size());
    STRCMP_EQUAL("entry-5", candidates.front().c_str());
    CHECK_EQUAL(3, connectionShare(fleet, createTarget(1, 4, 25)));
}

// Guards against a few nodes that are the dispatchers of most targets.
TEST(DispatcherAssignment, TargetsAreBalancedOverSevenNodes)
{
    CHECK(worstImbalance(createFleet(7, 4), 99, 4, 1) < 1.6);
    CHECK(worstImbalance(createFleet(7, 4), 99, 4, 3) < 1.6);
}

TEST(DispatcherAssignment, TargetsAreBalancedOverFourHundredAndSeventyNodes)
{
    // 2,500 targets give each node a mean of 5.3; the greatest of 470 Poisson counts with that mean is about 14.
    CHECK(worstImbalance(createFleet(470, 7), 2500, 7, 1) < 3.2);
    CHECK(worstImbalance(createFleet(470, 7), 2500, 7, 3) < 2.2);
}

TEST(DispatcherAssignment, RendezvousOrdersDifferByKey)
{
    FleetDefinition const fleet = createFleet(7, 4);
    std::map<std::string, size_t> first;
    for (size_t range = 0; range < 700; ++range)
        ++first[rendezvousOrder(fleet, "range/" + std::to_string(range)).front()];
    CHECK_EQUAL(7, first.size());
    for (auto const& [name, count] : first)
        CHECK(count > 50 && count < 150);
}
