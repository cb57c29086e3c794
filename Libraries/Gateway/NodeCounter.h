#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Toucan {

/// Counts the nodes of a deployment on a relay: those that follow this relay, and those that the other relays report to
/// follow them. A node that follows several relays counts once.
class NodeCounter {
public:
    /// The number of nodes is known from some seconds after `startedAt` on, when all have had time to come.
    explicit NodeCounter(Milliseconds startedAt);

    /// Called when a request of a node arrives, and for this relay itself.
    void onSeen(std::string_view node, Milliseconds now);
    /// Replaces what the relay has reported before; `nodes` are its seenHere().
    void onReport(std::string const& relay, std::vector<uint32_t> nodes, Milliseconds now);

    /// Hashes of the names of the nodes seen here within the last seconds.
    std::vector<uint32_t> seenHere(Milliseconds now);
    /// Number of nodes; empty while it is not known.
    std::optional<uint32_t> count(Milliseconds now);

private:
    struct Report {
        std::vector<uint32_t> nodes;
        Milliseconds at;
    };

    Milliseconds startedAt;
    std::map<uint32_t, Milliseconds> lastSeen;
    std::map<std::string, Report> reports;
};

} // namespace Toucan
