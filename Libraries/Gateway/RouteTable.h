#pragma once

#include "Gateway/RoutingConfiguration.h"
#include "Workspaces/WorkspaceAccess.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// Index over the routes of one configuration.
class RouteTable {
public:
    explicit RouteTable(RoutingConfiguration configuration);
    // The index refers to the configuration in the same object.
    RouteTable(RouteTable const&) = delete;
    RouteTable& operator=(RouteTable const&) = delete;

    /// Route of `host` whose prefix is the longest that `path` (without query) begins with; null when none matches.
    /// A port in `host` is ignored.
    Route const* find(std::string_view host, std::string_view path) const;
    /// Connections that one target of the service accepts from all callers together; 1 when the service is not
    /// configured.
    uint32_t connectionLimit(std::string_view service) const;
    RoutingConfiguration const& configuration() const { return this->routing; }
    WorkspaceAccess const& access() const { return this->workspaceAccess; }
    uint64_t version() const { return this->routing.version; }

private:
    struct TextHash {
        using is_transparent = void;
        size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
    };
    template <typename Value> using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    RoutingConfiguration routing;
    WorkspaceAccess workspaceAccess;
    /// Routes of a host, longest prefix first.
    TextMap<std::vector<Route const*>> routesByHost;
    TextMap<uint32_t> connectionLimits;
};

/// Distributes the requests of a route among its services by smooth weighted round robin, so that the weights hold in
/// every short run of requests as well.
class TrafficSplitter {
public:
    /// `route.services` must not be empty.
    WeightedService const& next(Route const& route);
    /// Resets the round-robin state; called when another configuration comes into force.
    void reset() { this->credits.clear(); }

private:
    std::unordered_map<std::string, std::vector<double>> credits;
};

} // namespace Toucan
