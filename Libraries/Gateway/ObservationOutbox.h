#pragma once

#include "Gateway/TargetObservation.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Toucan {

/// Batches this node's observations of targets for a short time, so that the other nodes receive them in one message.
class ObservationOutbox {
public:
    struct Hooks {
        std::function<Milliseconds()> now;
        std::function<void(Milliseconds at, std::function<void()>)> schedule;
        std::function<void(std::vector<TargetObservation>&&)> send;
    };

    explicit ObservationOutbox(Hooks hooks);

    /// Replaces an earlier observation of the same target in the batch; a rate limit replaces only another rate limit,
    /// and a slowdown does not replace that the target leaves.
    void add(TargetObservation const& observation);

private:
    struct Pending {
        TargetObservation observation;
        Milliseconds at;
    };

    void flush();

    Hooks hooks;
    /// Time of the next flush while observations are pending.
    Milliseconds flushAt;
    /// By target, and whether the observation is about its rate limit.
    std::map<std::pair<std::string, bool>, Pending> pending;
};

} // namespace Toucan
