#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Toucan {

/// Counters of each workspace besides those of its limit (QuotaUsage), exported in the Prometheus text format for the
/// 20 workspaces with the most requests; the others are summed. Keeps at most 10,000 workspaces; further ones count
/// among the others.
class WorkspaceMetrics {
public:
    enum class Event {
        Request,
        /// Refused because the targets had no capacity.
        RefusedCapacity,
    };

    void count(std::string_view workspace, Event event, uint64_t number = 1);
    uint64_t value(std::string_view workspace, Event event) const;
    /// Empty until the first event.
    std::string text() const;

private:
    static constexpr size_t eventCount = 2;
    using Counters = std::array<uint64_t, eventCount>;
    struct TextHash {
        using is_transparent = void;
        size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
    };

    std::unordered_map<std::string, Counters, TextHash, std::equal_to<>> byWorkspace;
    /// Events of workspaces that are not kept.
    Counters others {};
};

} // namespace Toucan
