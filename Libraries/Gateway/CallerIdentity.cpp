#include "Gateway/CallerIdentity.h"

#include <Poco/String.h>
#include <vector>

namespace Toucan {

using Poco::Net::HTTPResponse;
using Result = WorkspaceAccess::Result;

static std::vector<std::string_view> credentialsOf(Poco::Net::MessageHeader const& head, std::string const& field)
{
    std::vector<std::string_view> values;
    for (auto const& [name, value] : head) {
        if (Poco::icompare(name, field) == 0)
            values.emplace_back(value);
    }
    return values;
}

static WorkspaceAccess::RouteKind kindOf(Route const& route)
{
    return route.isPublic ? WorkspaceAccess::RouteKind::Public : WorkspaceAccess::RouteKind::KeyNeeded;
}

static std::optional<CredentialsRefusal> refusalFor(Result result)
{
    switch (result) {
    case Result::Identified:
    case Result::NotNeeded:
        return std::nullopt;
    case Result::Missing:
        return CredentialsRefusal { HTTPResponse::HTTP_UNAUTHORIZED, "no key was sent; not run", "keys_missing" };
    case Result::Malformed:
        return CredentialsRefusal { HTTPResponse::HTTP_BAD_REQUEST, "the credentials are malformed; not run",
            "keys_malformed" };
    case Result::OtherScheme:
        return CredentialsRefusal { HTTPResponse::HTTP_UNAUTHORIZED, "the credentials have another scheme; not run",
            "keys_malformed" };
    case Result::Unknown:
        break;
    }
    return CredentialsRefusal { HTTPResponse::HTTP_UNAUTHORIZED, "the key is unknown; not run", "keys_unknown" };
}

std::optional<CredentialsRefusal> identifyCaller(ProxiedRequest& request,
    std::shared_ptr<RouteTable const> const& table, Route const& route, GatewayHeaders const& names)
{
    auto const& access = table->access();
    if (!access.hasWorkspaces())
        return std::nullopt;
    auto const credentials = credentialsOf(request.head, names.credentials);
    auto const decision = access.decide(credentials, names.credentialsScheme, kindOf(route));
    if (decision.workspace)
        request.workspace = std::shared_ptr<Workspace const>(table, decision.workspace);
    return refusalFor(decision.result);
}

void setWorkspaceFields(
    ProxiedRequest& request, WorkspaceAccess const& access, Route const& route, GatewayHeaders const& names)
{
    if (!access.hasWorkspaces())
        return;
    auto const credentials = credentialsOf(request.head, names.credentials);
    if (access.mustRemove(credentials, names.credentialsScheme, kindOf(route)))
        request.head.erase(names.credentials);
    // set() would replace the first of several fields only.
    request.head.erase(names.workspace);
    if (request.workspace)
        request.head.set(names.workspace, request.workspace->name);
}

} // namespace Toucan
