#pragma once

#include "Workspaces/KeyIndex.h"
#include "Workspaces/Workspace.h"

#include <span>
#include <string_view>
#include <vector>

namespace Toucan {

/// Decides what the credentials of a request give (RFC 9110, section 11.6.2). Belongs to one configuration, whose
/// workspaces must outlive it.
class WorkspaceAccess {
public:
    enum class Result {
        /// The key names a workspace.
        Identified,
        /// The request needs no key.
        NotNeeded,
        Missing,
        /// Several fields, or a value that is not a scheme and a key.
        Malformed,
        OtherScheme,
        Unknown,
    };
    struct Decision {
        Result result { Result::NotNeeded };
        /// Set with Identified.
        Workspace const* workspace { nullptr };
    };
    enum class RouteKind {
        KeyNeeded,
        /// Requests without a valid key are served without a workspace.
        Public,
    };

    /// What a list without workspaces means.
    enum class EmptyList {
        /// The deployment has no workspaces, and no request needs a key.
        NoKeysNeeded,
        /// All workspaces have been removed, and no key is valid.
        NoKeyValid,
    };

    /// Builds the index and removes the digests from the workspaces.
    explicit WorkspaceAccess(std::vector<Workspace>& workspaces, EmptyList emptyList = EmptyList::NoKeysNeeded,
        KeyIndex::Secret const& secret = KeyIndex::processSecret());

    /// Whether the deployment has workspaces; without, no request needs a key.
    bool hasWorkspaces() const { return !this->workspaces.empty() || this->emptyList == EmptyList::NoKeyValid; }
    /// `credentials` holds the values of all fields; the scheme is compared without regard to case.
    Decision decide(std::span<std::string_view const> credentials, std::string_view scheme, RouteKind routeKind) const;
    /// Whether the fields must not reach a target, because they hold a key or are meant for the gateway.
    bool mustRemove(std::span<std::string_view const> credentials, std::string_view scheme, RouteKind routeKind) const;

private:
    Decision read(std::span<std::string_view const> credentials, std::string_view scheme) const;
    bool holdsKey(std::string_view value, std::string_view scheme) const;

    std::span<Workspace const> workspaces;
    EmptyList emptyList;
    KeyIndex index;
};

} // namespace Toucan
