#include "Engine/CarrierMap.h"

#include "Base/Hash.h"
#include <algorithm>
#include <set>

namespace Toucan {

std::vector<std::string> rendezvousOrder(FleetDefinition const& fleet, std::string const& key)
{
    uint64_t const seed = hash64(key);
    std::vector<std::pair<uint64_t, std::string>> scored;
    scored.reserve(fleet.nodes.size());
    for (auto const& [name, node] : fleet.nodes)
        scored.emplace_back(hash64(name, seed), name);
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<std::string> order;
    order.reserve(scored.size());
    for (auto& [score, name] : scored)
        order.emplace_back(std::move(name));
    return order;
}

static void moveToFront(std::vector<std::string>& names, std::string const& name)
{
    if (auto const found = std::find(names.begin(), names.end(), name); found != names.end())
        std::rotate(names.begin(), found, found + 1);
}

/// Order by which candidates are taken: the target's failure domain, then one node of each further domain, then all
/// others.
static std::vector<std::string> preferredOrder(FleetDefinition const& fleet, TargetDefinition const& target)
{
    std::vector<std::string> local;
    std::vector<std::string> firstOfDomain;
    std::vector<std::string> others;
    std::set<std::string> domains;
    for (auto const& name : rendezvousOrder(fleet, target.name)) {
        std::string const& domain = fleet.nodes.at(name).failureDomain;
        if (domain == target.failureDomain)
            local.emplace_back(name);
        else if (domains.insert(domain).second)
            firstOfDomain.emplace_back(name);
        else
            others.emplace_back(name);
    }
    local.insert(local.end(), firstOfDomain.begin(), firstOfDomain.end());
    local.insert(local.end(), others.begin(), others.end());
    return local;
}

std::vector<std::string> carrierCandidates(
    FleetDefinition const& fleet, TargetDefinition const& target, std::string const& self)
{
    std::vector<std::string> order = preferredOrder(fleet, target);
    if (fleet.routing == Routing::Direct)
        moveToFront(order, self);
    else if (order.size() > fleet.carriersPerTarget)
        order.resize(fleet.carriersPerTarget);
    return order;
}

uint32_t connectionShare(FleetDefinition const& fleet, TargetDefinition const& target)
{
    auto const nodes = static_cast<uint32_t>(fleet.nodes.size());
    uint32_t const candidates = fleet.routing == Routing::Direct ? nodes : std::min(nodes, fleet.carriersPerTarget);
    // One more holder than candidates: while a VM is replaced, it and its successor of the same name both dial.
    return target.connections / (candidates + 1);
}

} // namespace Toucan
