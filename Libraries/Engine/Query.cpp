#include "Engine/Query.h"

#include <algorithm>

namespace Toucan {

/// Tolerates rounding errors in products such as 0.07 x 100.
static constexpr double roundingTolerance = 1e-9;

Coverage Query::coverage() const
{
    Coverage result { static_cast<uint32_t>(this->shards.size()), this->merged, {} };
    for (uint32_t shard = 0; shard < this->shards.size(); ++shard) {
        if (this->shards[shard].state != ShardProgress::State::Merged)
            result.missing.push_back(shard);
    }
    return result;
}

bool Query::canReachMinimumCoverage() const
{
    auto const shards = static_cast<double>(this->shards.size());
    auto const reachable = shards - this->failed;
    return reachable > 0 && reachable >= this->rule->minimumCoverage * shards - roundingTolerance;
}

bool Query::hasMinimumCoverage() const
{
    auto const needed = this->rule->minimumCoverage * static_cast<double>(this->shards.size()) - roundingTolerance;
    return this->merged > 0 && this->merged >= needed;
}

bool Query::hasPendingAttempts() const
{
    return std::ranges::any_of(this->shards, [](auto const& shard) { return !shard.pendingAttempts.empty(); });
}

} // namespace Toucan
