// Minimal carrier map for the tests of the carrier. It is empty once Libraries/Engine has the real one.
#if !__has_include("Engine/CarrierMap.cpp")

#include "Engine/CarrierMap.h"

#include "Base/Hash.h"
#include <algorithm>

namespace Toucan {

std::vector<std::string> rendezvousOrder(FleetDefinition const& fleet, std::string const& key)
{
    std::vector<std::string> names;
    for (auto const& [name, node] : fleet.nodes)
        names.push_back(name);
    std::ranges::sort(names, std::greater<>(), [&](auto const& name) { return hash64(name + "/" + key); });
    return names;
}

std::vector<std::string> carrierCandidates(
    FleetDefinition const& fleet, TargetDefinition const& target, std::string const&)
{
    auto names = rendezvousOrder(fleet, target.name);
    names.resize(std::min<size_t>(names.size(), fleet.carriersPerTarget));
    return names;
}

uint32_t connectionShare(FleetDefinition const& fleet, TargetDefinition const& target)
{
    return target.connections / (fleet.carriersPerTarget + 1);
}

} // namespace Toucan

#endif
