#pragma once

#include "Gateway/Gateway.h"

#include <string>
#include <string_view>

namespace Toucan {

/// Settings of one gateway process. Addresses are IP address and port.
struct GatewaySettings {
    std::string name;
    std::string failureDomain;
    std::string callerListen;
    std::string readyListen;
    /// Empty for no metrics.
    std::string metricsListen;
    std::string registry;
    /// Where other nodes ask this one for news of the registry; empty when none may.
    std::string relayListen;
    /// Addresses of the nodes that watch the registry for the others. A node that finds its own relayListen here is
    /// one of them. Empty: every node watches the registry itself.
    std::vector<std::string> relays;
    /// Time from the stop signal to the exit at the latest.
    Milliseconds stopTime { 5500 };
    /// Time after which a balancer has taken a node that is not ready out of rotation.
    Milliseconds balancerLag { 2600 };
    /// Nodes that may share the connections of a target: the usual ones, and those that replace or join them.
    uint32_t connectionSharers { 11 };
    /// Whether the connections of an earlier process of this node, or of all nodes, may still count at the targets.
    bool restarted { false };
    ExtraAttemptBudget::Limits extraAttempts;
    /// Memory that the process may use, from which the room for requests and answers is derived.
    uint32_t memoryMegabytes { 160 };
    /// Largest answer of a target that is forwarded.
    size_t answerBytes { 4194304 };
};

/// Reads JSON with comments. Throws SettingsError with file, line, key and remedy.
GatewaySettings parseGatewaySettings(std::string const& file, std::string_view text);
GatewaySettings readGatewaySettings(std::string const& file);

} // namespace Toucan
