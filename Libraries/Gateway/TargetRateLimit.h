#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace Toucan {

/// The request rate that a target states to accept from all nodes together, and the permits of this node's share of it.
/// Load: every node alone is far below the limit, and together they exceed it many times. Permits become available at
/// equal intervals (the virtual scheduling algorithm of ITU-T I.371); one that is not used expires, so that nodes that
/// were idle do not send many requests at once.
class TargetRateLimit {
public:
    /// `requestsPerSecond` is at least 0 and `share` is this node's share of it, above 0 and at most 1. `phase`, in
    /// [0, 1), is the part of an interval until the first permit; nodes that learn of the limit together need different
    /// ones. `now` is the time of the first statement. A permit expires when it has not been used for `lifetime`: all
    /// nodes together can send as much as the target accepts in this time at once after they were idle.
    TargetRateLimit(double requestsPerSecond, double share, double phase, Milliseconds now,
        Milliseconds lifetime = Milliseconds { 1000 });

    /// Replaces the rate by the one of a later statement.
    void setRate(double requestsPerSecond, Milliseconds now);
    void setShare(double share, Milliseconds now);
    /// Requests per second, for all nodes together.
    double requestsPerSecond() const { return this->rate; }
    /// Time of the first statement.
    Milliseconds statedAt() const { return this->firstStatement; }

    /// Time from which on a permit is available; not after `now` when there is one.
    Milliseconds permitAt(Milliseconds now) const;
    bool hasPermit(Milliseconds now) const { return this->permitAt(now) <= now; }
    void takePermit(Milliseconds now);
    /// Returns the permit of a request that was not sent.
    void returnPermit() { this->nextPermit = this->nextPermit - this->interval(); }

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
    /// Time between two permits.
    Milliseconds interval() const;
    void reschedule(Milliseconds formerInterval, Milliseconds now);

    double rate;
    double share;
    Milliseconds permitLifetime;
    Milliseconds firstStatement;
    /// Time at which the oldest permit that has not been taken becomes available.
    Milliseconds nextPermit;
    Sent sentRequests;
};

} // namespace Toucan
