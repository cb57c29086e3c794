#pragma once

#include "Gateway/TargetObservation.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Toucan {

/// Collects what this node learns of targets for a moment, so that the other nodes get it in one message.
class ObservationOutbox {
public:
    struct Hooks {
        std::function<Milliseconds()> now;
        std::function<void(Milliseconds at, std::function<void()>)> schedule;
        std::function<void(std::vector<TargetObservation>&&)> send;
    };

    explicit ObservationOutbox(Hooks hooks);

    /// The last observation of a target counts.
    void add(std::string const& target, double slowdown, Milliseconds age = {});

private:
    struct Pending {
        double slowdown { 1 };
        Milliseconds at;
    };

    void flush();

    Hooks hooks;
    std::map<std::string, Pending> pending;
};

} // namespace Toucan
