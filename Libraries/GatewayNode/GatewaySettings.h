#pragma once

#include "Gateway/Gateway.h"

#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

/// Settings of one gateway process. Addresses consist of IP address and port.
struct GatewaySettings {
    std::string name;
    std::string failureDomain;
    std::string callerListen;
    std::string readyListen;
    /// Empty for no metrics.
    std::string metricsListen;
    /// Address of the platform's registry.
    std::string registry;
    /// Listen address for followers of this node; empty when it accepts none.
    std::string relayListen;
    /// Addresses of the nodes that watch the registry for the others. A node whose relayListen is among them is a
    /// relay. Empty: every node watches the registry itself.
    std::vector<std::string> relays;
    /// Longest time from the stop signal until the running requests are answered; the exit follows shortly after.
    Milliseconds stopTime { 5500 };
    /// Time within which a load balancer removes a node that is not ready.
    Milliseconds balancerLag { 2600 };
    /// The connections of a target are divided among at least this many nodes: the usual ones and those that replace or
    /// join them.
    uint32_t connectionSharers { 11 };
    /// Whether targets may still count connections of earlier processes, of this node or, after a restart of the entire
    /// deployment, of all nodes.
    bool restarted { false };
    ExtraAttemptBudget::Limits extraAttempts;
    /// Bounds on the requests of workspaces with a limit.
    QuotaBounds workspaceLimits;
    /// Extra attempts of all nodes together per service and window, in addition to their share of the requests.
    /// Replaces `extraAttempts.allowance` as soon as the number of nodes is known; empty: it does not.
    std::optional<double> totalExtraAttempts;
    /// Memory that the process may use, in MiB; the limits for requests and answers are derived from it.
    uint32_t memoryMegabytes { 160 };
    /// Largest answer of a target that is forwarded, in bytes.
    size_t answerBodyLimit { 4194304 };
    /// For experiments only.
    Mechanisms mechanisms;

    bool operator==(GatewaySettings const&) const = default;
};

/// Reads JSON with comments. Throws SettingsError with file, line, key and remedy.
GatewaySettings parseGatewaySettings(std::string const& file, std::string_view text);
GatewaySettings readGatewaySettings(std::string const& file);

} // namespace Toucan
