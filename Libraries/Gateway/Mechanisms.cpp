#include "Gateway/Mechanisms.h"

#include <algorithm>

namespace Toucan {

std::optional<Mechanism> parseMechanism(std::string_view name)
{
    auto const* const found = std::find_if(
        mechanismNames.begin(), mechanismNames.end(), [name](auto const& entry) { return entry.first == name; });
    if (found == mechanismNames.end())
        return std::nullopt;
    return found->second;
}

} // namespace Toucan
