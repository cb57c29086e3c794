#include "Gateway/ObservationFeed.h"

#include <algorithm>

namespace Toucan {

/// Observations that have been in the feed for longer are not sent, because most disturbances have ended by then.
constexpr Milliseconds maximumAge { 1000 };
/// Bounds the observations of one answer to about 2 KB.
constexpr size_t maximumEntries = 64;

void ObservationFeed::append(std::span<TargetObservation const> observations, Milliseconds now)
{
    for (auto const& observation : observations) {
        // Only the newest observation of a target counts, but a slowdown does not replace that the target leaves.
        std::erase_if(this->entries, [&observation](Entry const& entry) {
            return entry.observation.target == observation.target
                && entry.observation.isAboutRateLimit() == observation.isAboutRateLimit()
                && (observation.leaving || !entry.observation.leaving);
        });
        this->entries.push_back({ ++this->lastNumber, observation, now });
    }
    while (!this->entries.empty()
        && (this->entries.size() > maximumEntries || now - this->entries.front().appendedAt > maximumAge))
        this->entries.pop_front();
}

std::vector<TargetObservation> ObservationFeed::after(uint64_t after, Milliseconds now) const
{
    auto const first = after > this->lastNumber ? 0 : after;
    std::vector<TargetObservation> result;
    for (auto const& entry : this->entries) {
        auto const age = now - entry.appendedAt;
        if (entry.number <= first || age > maximumAge)
            continue;
        result.push_back(entry.observation);
        result.back().age += age;
    }
    return result;
}

} // namespace Toucan
