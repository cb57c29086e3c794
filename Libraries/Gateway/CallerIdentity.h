#pragma once

#include "Gateway/GatewayMessages.h"
#include "Gateway/RouteTable.h"

#include <memory>
#include <optional>
#include <string_view>

namespace Toucan {

/// Why a request is refused because of its credentials.
struct CredentialsRefusal {
    Poco::Net::HTTPResponse::HTTPStatus status;
    std::string_view reason;
    /// Name of the counter in GatewayMetrics.
    std::string_view counter;
};

/// Sets the request's workspace from its credentials, as the configuration of `table` has it. Returns the refusal of a
/// request that needs a key and has no valid one. `route` belongs to `table`.
std::optional<CredentialsRefusal> identifyCaller(ProxiedRequest& request,
    std::shared_ptr<RouteTable const> const& table, Route const& route, GatewayHeaders const& names);

/// Removes the credentials that targets must not receive, and sets the field with the workspace's name, whatever the
/// caller sent under that name. Does nothing when the configuration has no workspaces.
void setWorkspaceFields(
    ProxiedRequest& request, WorkspaceAccess const& access, Route const& route, GatewayHeaders const& names);

} // namespace Toucan
