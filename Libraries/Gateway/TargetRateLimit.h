#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace Toucan {

/// The request rate that a target states to accept from all nodes together.
class TargetRateLimit {
public:
    /// `requestsPerSecond` is at least 0. `now` is the time of the first statement.
    TargetRateLimit(double requestsPerSecond, Milliseconds now);

    /// Replaces the rate by the one of a later statement.
    void setRate(double requestsPerSecond) { this->rate = requestsPerSecond; }
    /// Requests per second, for all nodes together.
    double requestsPerSecond() const { return this->rate; }
    /// Time of the first statement.
    Milliseconds statedAt() const { return this->firstStatement; }

    /// Requests that this node has sent to the target since the first statement.
    struct Sent {
        uint64_t all { 0 };
        uint64_t hedges { 0 };
        uint64_t retries { 0 };
        /// Those for which the target had been chosen before the first statement.
        uint64_t chosenBefore { 0 };
    };
    void addSent(Sent const& requests);
    Sent const& sent() const { return this->sentRequests; }

private:
    double rate;
    Milliseconds firstStatement;
    Sent sentRequests;
};

} // namespace Toucan
