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
    void addSlowdown(std::string const& target, double slowdown) { this->add(target, slowdown); }
    /// Ignored while most attempts of this node fail, because then the cause lies with the node.
    void addFailure(std::string const& target);
    /// Counts the end of each attempt.
    void onAttempt(bool failed);

private:
    struct Pending {
        std::optional<double> slowdown;
        Milliseconds at;
    };

    void add(std::string const& target, std::optional<double> slowdown);
    void flush();

    Hooks hooks;
    std::map<std::string, Pending> pending;
    /// Moving average.
    double failureShare { 0 };
};

} // namespace Toucan
