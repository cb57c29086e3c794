#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Toucan {

/// The nodes that a relay has seen within the last seconds.
struct NodeReport {
    /// Name of the relay.
    std::string relay;
    /// Hashes of the names of the nodes.
    std::vector<uint32_t> nodes;
    /// Whether all nodes that follow the relay have had time to come since it started.
    bool isComplete { true };
    /// Nodes that the relay has heard within the last seconds, IssuingShare::recentlyHeard(); left out while the
    /// registry holds no roster of relays.
    std::vector<uint32_t> heard {};
};

/// Counts the nodes of a deployment on a relay: those that follow this relay, and those that the other relays report to
/// follow them. A node that follows several relays counts once. The number is rather too great than too small, because
/// nodes divide shared limits by it; it must be counted each second.
class NodeCounter {
public:
    /// The number of nodes is known from some seconds after `startedAt` on, when all have had time to come.
    explicit NodeCounter(Milliseconds startedAt);

    /// Called when a request of a node arrives, and for this relay itself.
    void onSeen(std::string_view node, Milliseconds now);
    /// Replaces what the relay has reported before, or adds to it while the report is not complete.
    void onReport(NodeReport const& report, Milliseconds now);

    /// What this relay, named `name`, reports to the others.
    NodeReport report(std::string const& name, Milliseconds now);

    /// Called while nodes do not follow this relay because its state is outdated: their absence does not show that they
    /// have ended, so none is removed until they have had time to come back.
    void keepAbsent(Milliseconds now);

    /// Number of nodes; empty while it is not known.
    std::optional<uint32_t> count(Milliseconds now);

private:
    struct Received {
        std::set<uint32_t> nodes;
        Milliseconds at;
    };

    bool isComplete(Milliseconds now) const;
    void removeAbsent(Milliseconds now);

    Milliseconds startedAt;
    Milliseconds lastCount;
    /// No node that was seen here is removed before this time.
    Milliseconds keptUntil;
    std::map<uint32_t, Milliseconds> lastSeen;
    std::map<std::string, Received> reports;
};

} // namespace Toucan
