#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Toucan {

/// Estimates how much each workspace sends compared with what it may send: its limit, or without one its usual rate.
/// Bounded to 10,000 workspaces; further ones count as sending their usual rate.
class WorkspaceRates {
public:
    /// Rate of a workspace over all nodes, in requests per second; empty when it is not known.
    using FleetRate = std::function<std::optional<double>(std::string_view workspace)>;
    enum class Learning {
        /// The present rate counts towards the usual one.
        Usual,
        /// The load is exceptional; the usual rate stays, unless it is not known yet.
        Paused,
    };

    /// `fleetRate` may be empty; the node's own requests are counted then.
    explicit WorkspaceRates(FleetRate fleetRate)
        : fleetRate(std::move(fleetRate))
    {
    }

    /// Counts one request. Returns the workspace's rate relative to its limit (requests per second, 0 for none) or
    /// to its usual rate; 1 means that it sends what it may or usually does.
    double onRequest(std::string_view workspace, double limit, Learning learning, Milliseconds now);
    size_t size() const { return this->estimates.size(); }

private:
    struct Estimate {
        /// This node's requests per second.
        double rate { 0 };
        /// Moving average of the rate over all nodes.
        std::optional<double> fleetRate {};
        double usual { 0 };
        /// Time for which the usual rate has been learned, in seconds.
        double learned { 0 };
        Milliseconds firstAt;
        Milliseconds at;
    };
    struct TextHash {
        using is_transparent = void;
        size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
    };

    Estimate* find(std::string_view workspace, Milliseconds now);
    void removeIdle(Milliseconds now);

    FleetRate fleetRate;
    std::unordered_map<std::string, Estimate, TextHash, std::equal_to<>> estimates;
    Milliseconds cleanedAt;
};

} // namespace Toucan
