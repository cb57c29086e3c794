#pragma once

#include "Gateway/TargetObservation.h"

#include <functional>
#include <map>
#include <string>
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

    /// Replaces an earlier observation of the same target in the batch, but not by a slowdown that the target leaves.
    void add(TargetObservation const& observation);

private:
    struct Pending {
        TargetObservation observation;
        Milliseconds at;
    };

    void flush();

    Hooks hooks;
    std::map<std::string, Pending> pending;
};

} // namespace Toucan
