#pragma once

#include "Configuration/Configuration.h"

#include <string>
#include <vector>

namespace Toucan {

/// Node names that may dial a target, best first; derived from the configuration alone, so that nodes which disagree
/// about liveness still agree about it. With Routing::Direct all roster nodes, `self` first.
std::vector<std::string> dispatcherCandidates(
    FleetDefinition const& fleet, TargetDefinition const& target, std::string const& self);

/// Connections that one candidate may hold to the target: floor(connections / (K + 1)), or floor(connections / (n + 1))
/// with Routing::Direct; at least 1 while the target accepts as many connections as there are holders, otherwise 0.
uint32_t connectionShare(FleetDefinition const& fleet, TargetDefinition const& target);

/// Roster names by rendezvous hashing for a key (watchers, key ranges), best first.
std::vector<std::string> rendezvousOrder(FleetDefinition const& fleet, std::string const& key);

} // namespace Toucan
