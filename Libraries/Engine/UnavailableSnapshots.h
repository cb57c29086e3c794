#pragma once

#include "Base/Clock.h"

#include <map>
#include <string>
#include <utility>

namespace Toucan {

/// Pairs of target and snapshot that the target reported as gone.
class UnavailableSnapshots {
public:
    void add(std::string const& target, std::string const& snapshot, Milliseconds now);
    bool contains(std::string const& target, std::string const& snapshot, Milliseconds now) const;
    /// Drops outdated pairs.
    void prune(Milliseconds now);

private:
    std::map<std::pair<std::string, std::string>, Milliseconds> expiries;
};

} // namespace Toucan
