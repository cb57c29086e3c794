#pragma once

#include "Base/Clock.h"
#include "Engine/Membership.h"

#include <string>
#include <vector>

namespace Toucan {

/// Settings of one node. Addresses are IP address and port, as in "127.0.0.1:8101".
struct NodeOptions {
    std::string name;
    std::string failureDomain;
    std::string callerListen;
    std::string peerListen;
    /// Address under which peers reach this node; differs from peerListen behind a proxy or address translation.
    std::string peerAdvertise;
    std::string adminListen;
    std::string store;
    std::string vmList;
    /// Name and address of nodes that are known at the start.
    std::vector<Peer> peers;
    /// Time for which a stopping node still serves, because the load balancer notices late that it is not ready.
    Milliseconds balancerLag { 2000 };
    /// Time limit for the rest of the stop: running requests, release of key ranges, notification of peers.
    Milliseconds drain { 10000 };
};

} // namespace Toucan
