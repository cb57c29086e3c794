#pragma once

#include "Gateway/TargetObservation.h"

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace Toucan {

/// The latest observations of all nodes, held by a relay for its followers. Each has a sequence number, so that a
/// follower receives it once.
class ObservationFeed {
public:
    void append(std::span<TargetObservation const> observations, Milliseconds now);
    /// Number of the last observation; 0 before the first.
    uint64_t last() const { return this->lastNumber; }
    /// Observations with a greater number than `after`. A number that has not been assigned, as after a restart of the
    /// relay, counts as 0.
    std::vector<TargetObservation> after(uint64_t after, Milliseconds now) const;

private:
    struct Entry {
        uint64_t number { 0 };
        TargetObservation observation;
        Milliseconds appendedAt;
    };

    std::deque<Entry> entries;
    uint64_t lastNumber { 0 };
};

} // namespace Toucan
