#include "Gateway/PartAdmission.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Queues, in waiting requests for each slot, at which the omitted share is 0 and at which it would be 1 without
/// maximumOmittedShare. In between, a part waits for about as long as it is processed.
constexpr double firstOmissionQueue = 0.75;
constexpr double lastAdmissionQueue = 2.25;
/// Some parts are always sent, so that the end of the overload is noticed.
constexpr double maximumOmittedShare = 0.9;

PartAdmission::PartAdmission(std::function<double()> random)
    : random(std::move(random))
{
}

static double omittedShare(ShardOutlook const& shard)
{
    auto const share = (shard.queuePerSlot - firstOmissionQueue) / (lastAdmissionQueue - firstOmissionQueue);
    return std::clamp(share, 0.0, maximumOmittedShare);
}

std::vector<size_t> PartAdmission::omit(std::span<ShardOutlook const> shards, size_t allowance) const
{
    std::vector<size_t> candidates;
    double expectedMissing = 0;
    for (size_t index = 0; index < shards.size(); ++index) {
        if (omittedShare(shards[index]) > 0)
            candidates.push_back(index);
        else
            expectedMissing += shards[index].usable == 0 ? 1 : shards[index].failureShare;
    }
    auto const reserved = static_cast<size_t>(std::lround(expectedMissing));
    std::sort(candidates.begin(), candidates.end(),
        [shards](size_t left, size_t right) { return shards[left].queuePerSlot > shards[right].queuePerSlot; });
    std::vector<size_t> omitted;
    for (auto const index : candidates) {
        if (omitted.size() + reserved >= allowance)
            break;
        if (this->random() < omittedShare(shards[index]))
            omitted.push_back(index);
    }
    return omitted;
}

} // namespace Toucan
