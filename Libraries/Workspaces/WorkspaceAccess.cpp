#include "Workspaces/WorkspaceAccess.h"

#include <Poco/String.h>
#include <algorithm>

namespace Toucan {

static constexpr std::string_view whiteSpace = " \t";

static bool isVisible(char character) { return character > ' ' && character < 0x7f; }

static std::string_view withoutLeadingSpace(std::string_view text)
{
    return text.substr(std::min(text.find_first_not_of(whiteSpace), text.size()));
}

/// The authentication scheme with which the credentials begin: a token (RFC 9110, section 5.6.2).
static std::string_view schemeOf(std::string_view credentials)
{
    auto const end = std::find_if_not(credentials.begin(), credentials.end(), [](char character) {
        constexpr std::string_view delimiters = "\"(),/:;<=>?@[\\]{}";
        return isVisible(character) && delimiters.find(character) == std::string_view::npos;
    });
    return credentials.substr(0, static_cast<size_t>(end - credentials.begin()));
}

static bool isSameScheme(std::string_view left, std::string_view right)
{
    return Poco::icompare(std::string(left), std::string(right)) == 0;
}

WorkspaceAccess::WorkspaceAccess(
    std::vector<Workspace>& workspaces, EmptyList emptyList, KeyIndex::Secret const& secret)
    : workspaces(workspaces)
    , emptyList(emptyList)
    , index(secret)
{
    for (uint32_t number = 0; number < workspaces.size(); ++number) {
        for (auto const& key : workspaces[number].keys)
            this->index.add(key, number);
        // Frees the memory, which clear() would keep.
        workspaces[number].keys = std::vector<KeyDigest> {};
    }
}

WorkspaceAccess::Decision WorkspaceAccess::read(
    std::span<std::string_view const> credentials, std::string_view scheme) const
{
    if (credentials.empty())
        return { Result::Missing };
    if (credentials.size() > 1)
        return { Result::Malformed };
    auto const value = credentials.front();
    auto const found = schemeOf(value);
    if (found.empty())
        return { Result::Malformed };
    if (!isSameScheme(found, scheme))
        return { Result::OtherScheme };
    auto const rest = value.substr(found.size());
    auto const key = rest.substr(std::min(rest.find_first_not_of(' '), rest.size()));
    bool const separated = key.size() < rest.size();
    if (!separated || key.empty() || !std::all_of(key.begin(), key.end(), isVisible))
        return { Result::Malformed };
    if (auto const number = this->index.find(key))
        return { Result::Identified, &this->workspaces[*number] };
    return { Result::Unknown };
}

WorkspaceAccess::Decision WorkspaceAccess::decide(
    std::span<std::string_view const> credentials, std::string_view scheme, RouteKind routeKind) const
{
    if (!this->hasWorkspaces())
        return { Result::NotNeeded };
    auto const decision = this->read(credentials, scheme);
    if (routeKind == RouteKind::Public && decision.result != Result::Identified)
        return { Result::NotNeeded };
    return decision;
}

bool WorkspaceAccess::holdsKey(std::string_view value, std::string_view scheme) const
{
    auto const found = schemeOf(value);
    auto const credentials = withoutLeadingSpace(value.substr(found.size()));
    if (this->index.find(credentials.empty() ? value : credentials))
        return true;
    // Several credentials in one field, separated by commas, are malformed but may hold a key.
    while (!value.empty()) {
        if (isSameScheme(schemeOf(withoutLeadingSpace(value)), scheme))
            return true;
        auto const comma = value.find(',');
        value = comma == std::string_view::npos ? std::string_view {} : value.substr(comma + 1);
    }
    return false;
}

bool WorkspaceAccess::mustRemove(
    std::span<std::string_view const> credentials, std::string_view scheme, RouteKind routeKind) const
{
    if (!this->hasWorkspaces())
        return false;
    return routeKind == RouteKind::KeyNeeded
        || std::any_of(credentials.begin(), credentials.end(),
            [this, scheme](std::string_view value) { return this->holdsKey(value, scheme); });
}

} // namespace Toucan
