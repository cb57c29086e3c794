#pragma once

#include "Configuration/Configuration.h"

#include <string>
#include <vector>

namespace Toucan {

/// Names of the dispatcher candidates of a target, best first. Derived from the configuration alone, so that nodes that
/// disagree about liveness still agree on the candidates. With Routing::Direct all roster nodes, `self` first.
std::vector<std::string> dispatcherCandidates(
    FleetDefinition const& fleet, TargetDefinition const& target, std::string const& self);

/// Connections that one candidate may hold to the target: floor(connections / (K + 1)) with K candidates, or
/// floor(connections / (n + 1)) with Routing::Direct and n nodes; 0 when the target accepts fewer connections than that
/// divisor.
uint32_t connectionShare(FleetDefinition const& fleet, TargetDefinition const& target);

/// Roster names by rendezvous hashing for a key (watchers, key ranges), best first.
std::vector<std::string> rendezvousOrder(FleetDefinition const& fleet, std::string const& key);

} // namespace Toucan
