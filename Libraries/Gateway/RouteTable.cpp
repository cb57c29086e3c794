#include "Gateway/RouteTable.h"

#include <Poco/String.h>
#include <algorithm>

namespace Toucan {

RouteTable::RouteTable(RoutingConfiguration configuration)
    : routing(std::move(configuration))
    , workspaceAccess(this->routing.workspaces,
          this->routing.needsKeys ? WorkspaceAccess::EmptyList::NoKeyValid : WorkspaceAccess::EmptyList::NoKeysNeeded)
{
    for (auto const& route : this->routing.routes)
        this->routesByHost[Poco::toLower(route.host)].push_back(&route);
    for (auto& [host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](Route const* left, Route const* right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
    for (auto const& service : this->routing.services)
        this->connectionLimits[service.name] = service.connectionLimit;
    for (auto const& route : this->routing.routes)
        this->priorities.push_back(route.priority);
    for (auto const& workspace : this->routing.workspaces) {
        if (workspace.priority)
            this->priorities.push_back(*workspace.priority);
    }
    std::sort(this->priorities.begin(), this->priorities.end());
    this->priorities.erase(std::unique(this->priorities.begin(), this->priorities.end()), this->priorities.end());
}

RouteTable::PriorityRank RouteTable::priorityOf(Route const& route, Workspace const* workspace) const
{
    auto const priority = workspace ? workspace->priority.value_or(route.priority) : route.priority;
    auto const place = std::lower_bound(this->priorities.begin(), this->priorities.end(), priority);
    return { static_cast<size_t>(place - this->priorities.begin()), this->priorities.size() };
}

Route const* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto const name = Poco::toLower(std::string(host.substr(0, host.find(':'))));
    auto const found = this->routesByHost.find(name);
    if (found == this->routesByHost.end())
        return nullptr;
    for (auto const* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

uint32_t RouteTable::connectionLimit(std::string_view service) const
{
    auto const found = this->connectionLimits.find(service);
    return found == this->connectionLimits.end() ? 1 : found->second;
}

WeightedService const& TrafficSplitter::next(Route const& route)
{
    if (route.services.size() == 1)
        return route.services.front();
    auto& credit = this->credits[route.name];
    credit.resize(route.services.size());
    double total = 0;
    for (size_t index = 0; index < credit.size(); ++index) {
        credit[index] += route.services[index].weight;
        total += route.services[index].weight;
    }
    auto const chosen = static_cast<size_t>(std::max_element(credit.begin(), credit.end()) - credit.begin());
    credit[chosen] -= total;
    return route.services[chosen];
}

} // namespace Toucan
