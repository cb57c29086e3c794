#pragma once

#include "Engine/Messages.h"

namespace Toucan {

/// Health of one target as an entry node observes it: failures, latency, load, state, back-off and ejection.
class TargetHealth {
public:
    void addInFlight() { ++this->inFlight; }
    void removeInFlight();
    /// `latency` is the time at the target, without the dispatcher's queue.
    void addSuccess(Milliseconds latency, Milliseconds now);
    /// Records that an unfinished attempt has taken at least `elapsed`.
    void addLatencyLowerBound(Milliseconds elapsed, Milliseconds now);
    void addFailure() { ++this->failures; }
    void setState(TargetState next, Milliseconds now);
    void setLoad(TargetLoad const& reported, uint32_t queuedAtDispatcher, Milliseconds now);
    void backOffUntil(Milliseconds time);
    void eject(Milliseconds now);
    /// Starts a period in which the cost falls from a multiple to its regular value, so that a cold target is not
    /// overloaded.
    void beginSlowStart(Milliseconds now) { this->slowStartBegin = now; }

    bool isDraining(Milliseconds now) const;
    bool isEjected(Milliseconds now) const { return now < this->ejectedUntil; }
    bool isBackingOff(Milliseconds now) const { return now < this->backOffEnd; }
    bool isStarting() const { return this->state == TargetState::Starting; }
    uint32_t consecutiveFailures() const { return this->failures; }
    /// Number of latency samples since the last ejection: successful answers, and cancelled attempts that took at least
    /// the decayed latency.
    uint32_t sampleCount() const { return this->samples; }
    /// Zero before the first measurement.
    Milliseconds smoothedLatency() const { return this->latency; }
    /// Cost of a new part in milliseconds: (in flight + queued + 1) / slots x latency, higher during slow start.
    double cost(uint32_t slots, Milliseconds fallbackLatency, Milliseconds now) const;
    Json::Value describe(Milliseconds now) const;

private:
    void smooth(Milliseconds sample, Milliseconds now);
    /// Lengthens the half-life of the latency after a sample that is slow again, and resets it after a fast one.
    void adaptHalfLife(Milliseconds sample, Milliseconds now);
    void lengthenHalfLife();
    Milliseconds decayedLatency(Milliseconds now) const;
    double slowStartFactor(Milliseconds now) const;

    uint32_t inFlight { 0 };
    uint32_t failures { 0 };
    uint32_t successes { 0 };
    uint32_t samples { 0 };
    Milliseconds latency;
    Milliseconds lastSample;
    /// Half-life of the latency; zero means initialHalfLife.
    Milliseconds halfLife;
    TargetLoad load;
    uint32_t dispatcherQueueLength { 0 };
    Milliseconds loadTime { -1e12 };
    TargetState state { TargetState::Serving };
    Milliseconds lastDraining { -1e12 };
    Milliseconds backOffEnd { -1e12 };
    Milliseconds ejectedUntil { -1e12 };
    Milliseconds ejectionDuration;
    Milliseconds slowStartBegin { -1e12 };
};

} // namespace Toucan
