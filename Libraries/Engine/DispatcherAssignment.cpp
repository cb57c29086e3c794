#include "Engine/DispatcherAssignment.h"

#include "Base/Hash.h"
#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace Toucan {

using RosterEntry = std::pair<std::string const, NodeDefinition>;

/// Sorts pointers into the fleet: sorting copies of the names takes several times as long, and each configuration
/// version needs the order of every target.
static std::vector<RosterEntry const*> rendezvousEntries(FleetDefinition const& fleet, std::string const& key)
{
    uint64_t const seed = hash64(key);
    std::vector<std::pair<uint64_t, RosterEntry const*>> scored;
    scored.reserve(fleet.nodes.size());
    for (auto const& entry : fleet.nodes)
        scored.emplace_back(hash64(entry.first, seed), &entry);
    std::sort(scored.begin(), scored.end(), [](auto const& left, auto const& right) {
        return left.first != right.first ? left.first > right.first : left.second->first > right.second->first;
    });
    std::vector<RosterEntry const*> order;
    order.reserve(scored.size());
    for (auto const& [score, entry] : scored)
        order.emplace_back(entry);
    return order;
}

static std::vector<std::string> namesOf(std::vector<RosterEntry const*> const& entries)
{
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (auto const* entry : entries)
        names.emplace_back(entry->first);
    return names;
}

std::vector<std::string> rendezvousOrder(FleetDefinition const& fleet, std::string const& key)
{
    return namesOf(rendezvousEntries(fleet, key));
}

static void moveToFront(std::vector<std::string>& names, std::string const& name)
{
    if (auto const found = std::find(names.begin(), names.end(), name); found != names.end())
        std::rotate(names.begin(), found, found + 1);
}

/// Order in which candidates are chosen: the target's failure domain, then one node of each further domain, then all
/// others.
static std::vector<RosterEntry const*> preferredOrder(FleetDefinition const& fleet, TargetDefinition const& target)
{
    std::vector<RosterEntry const*> local;
    std::vector<RosterEntry const*> firstOfDomain;
    std::vector<RosterEntry const*> others;
    std::set<std::string_view> domains;
    for (auto const* entry : rendezvousEntries(fleet, target.name)) {
        std::string const& domain = entry->second.failureDomain;
        if (domain == target.failureDomain)
            local.emplace_back(entry);
        else if (domains.insert(domain).second)
            firstOfDomain.emplace_back(entry);
        else
            others.emplace_back(entry);
    }
    local.insert(local.end(), firstOfDomain.begin(), firstOfDomain.end());
    local.insert(local.end(), others.begin(), others.end());
    return local;
}

std::vector<std::string> dispatcherCandidates(
    FleetDefinition const& fleet, TargetDefinition const& target, std::string const& self)
{
    auto order = preferredOrder(fleet, target);
    if (fleet.routing == Routing::Dispatched && order.size() > fleet.dispatchersPerTarget)
        order.resize(fleet.dispatchersPerTarget);
    auto names = namesOf(order);
    if (fleet.routing == Routing::Direct)
        moveToFront(names, self);
    return names;
}

uint32_t connectionShare(FleetDefinition const& fleet, TargetDefinition const& target)
{
    auto const nodes = static_cast<uint32_t>(fleet.nodes.size());
    uint32_t const candidates = fleet.routing == Routing::Direct ? nodes : std::min(nodes, fleet.dispatchersPerTarget);
    // One more holder than candidates: while a VM is replaced, it and its successor of the same name both dial.
    return target.connections / (candidates + 1);
}

} // namespace Toucan
