#pragma once

#include "Engine/Messages.h"

namespace Toucan {

/// What an entry node knows about one target: failures, latency, load, state, back-off and ejection.
class TargetHealth {
public:
    void addSent() { ++this->inFlight; }
    void removeSent();
    /// `latency` is the time at the target.
    void addSuccess(Milliseconds latency, Milliseconds now);
    /// Records that an unfinished attempt took at least `elapsed`.
    void addLowerBound(Milliseconds elapsed, Milliseconds now);
    void addFailure() { ++this->failures; }
    void setState(TargetState next, Milliseconds now);
    void setLoad(TargetLoad const& reported, uint32_t queuedAtDispatcher, Milliseconds now);
    void backOffUntil(Milliseconds time);
    void eject(Milliseconds now);
    /// Lets the cost fall from a multiple of the real one, so that a cold target is not flooded.
    void beginSlowStart(Milliseconds now) { this->slowStartBegin = now; }

    bool isDraining(Milliseconds now) const;
    bool isEjected(Milliseconds now) const { return now < this->ejectedUntil; }
    bool isBackingOff(Milliseconds now) const { return now < this->backOff; }
    bool isStarting() const { return this->state == TargetState::Starting; }
    uint32_t failuresInRow() const { return this->failures; }
    /// Answers since the last ejection.
    uint32_t answerCount() const { return this->answers; }
    /// Zero while nothing was measured.
    Milliseconds smoothedLatency() const { return this->latency; }
    /// Expected work before a new part: (in flight + queued + 1) / slots x latency, higher during slow start.
    double cost(uint32_t slots, Milliseconds fallbackLatency, Milliseconds now) const;
    Json::Value describe(Milliseconds now) const;

private:
    void smooth(Milliseconds sample, Milliseconds now);
    /// Lets the latency fade more slowly after a sample that shows a slow target slow again.
    void adaptHalfLife(Milliseconds sample, Milliseconds now);
    void lengthenHalfLife();
    Milliseconds fadedLatency(Milliseconds now) const;
    double slowStartFactor(Milliseconds now) const;

    uint32_t inFlight { 0 };
    uint32_t failures { 0 };
    uint32_t successes { 0 };
    uint32_t answers { 0 };
    Milliseconds latency;
    Milliseconds lastSample;
    /// Zero until the first try that found the target slow again.
    Milliseconds halfLife;
    TargetLoad load;
    uint32_t dispatcherQueueLength { 0 };
    Milliseconds loadTime { -1e12 };
    TargetState state { TargetState::Serving };
    Milliseconds lastDraining { -1e12 };
    Milliseconds backOff { -1e12 };
    Milliseconds ejectedUntil { -1e12 };
    Milliseconds ejection;
    Milliseconds slowStartBegin { -1e12 };
};

} // namespace Toucan
