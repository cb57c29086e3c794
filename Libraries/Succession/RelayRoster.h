#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Toucan {

/// Which nodes are the relays of the fleet. The registry holds it once limits that all nodes share are configured; it
/// then replaces the list in each node's settings. docs/design/succession.md explains the changes.
struct RelayRoster {
    /// Intent to take over the slots of nodes that do not answer. A node that it names cancels it.
    struct Claim {
        /// Address of the node that will hold the slots.
        std::string by;
        /// Addresses of the nodes that do not answer.
        std::vector<std::string> lost;

        bool operator==(Claim const&) const = default;
    };

    /// Rises by one with each change.
    uint64_t term { 0 };
    /// Address of the holder of each slot, empty for a vacant one. Each slot issues the same part of each limit. A node
    /// may hold several.
    std::vector<std::string> slots;
    /// Slots that were taken from a holder that may not know of it yet.
    std::set<size_t> taken {};
    /// Upper estimate of the number of nodes when slots were taken; 0 when none are.
    uint32_t nodes { 0 };
    std::optional<Claim> claim {};

    bool operator==(RelayRoster const&) const = default;

    bool isHolder(std::string_view address) const;
    /// The holders, each once, in the order of their first slots.
    std::vector<std::string> holders() const;
};

/// JSON: {"term": N, "slots": [ADDRESS], "taken": [INDEX], "nodes": N, "claim": {"by": ADDRESS, "lost": [ADDRESS]}};
/// the last three are left out when they are empty.
std::string writeRelayRoster(RelayRoster const& roster);
/// Throws Error of kind InvalidInput when the text is no roster.
RelayRoster readRelayRoster(std::string_view text);

} // namespace Toucan
