#include "Engine/UnavailableSnapshots.h"

namespace Toucan {

/// Entries expire, because a target may load the snapshot later.
static constexpr Milliseconds lifetime { 10000 };

void UnavailableSnapshots::add(std::string const& target, std::string const& snapshot, Milliseconds now)
{
    this->expiries[{ target, snapshot }] = now + lifetime;
}

bool UnavailableSnapshots::contains(std::string const& target, std::string const& snapshot, Milliseconds now) const
{
    if (this->expiries.empty())
        return false;
    auto const found = this->expiries.find({ target, snapshot });
    return found != this->expiries.end() && now < found->second;
}

void UnavailableSnapshots::prune(Milliseconds now)
{
    std::erase_if(this->expiries, [now](auto const& entry) { return entry.second <= now; });
}

} // namespace Toucan
