#pragma once

#include "Base/Clock.h"

#include <map>
#include <string>
#include <utility>

namespace Toucan {

/// Pairs of target and snapshot where the target answered that it does not hold the snapshot.
class UnavailableSnapshots {
public:
    void add(std::string const& target, std::string const& snapshot, Milliseconds now);
    bool contains(std::string const& target, std::string const& snapshot, Milliseconds now) const;
    /// Removes expired pairs.
    void prune(Milliseconds now);

private:
    std::map<std::pair<std::string, std::string>, Milliseconds> expiries;
};

} // namespace Toucan
