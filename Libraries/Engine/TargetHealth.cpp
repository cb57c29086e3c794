#include "Engine/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Weight of a new sample in the exponential moving average.
static constexpr double smoothingFactor = 0.1;
/// The latency of a target without new samples decays, with a half-life that doubles with each sample that is slow
/// again. With a constant half-life of 1 s, every 3 s each of 7 nodes chose a replica ten times slower than the others,
/// which determined the 99th percentile of the latency.
static constexpr Milliseconds initialHalfLife { 1000 };
static constexpr Milliseconds maximumHalfLife { 16000 };
/// A sample above this multiple of the decayed latency, or below the inverse multiple of the undecayed one, is a change
/// rather than jitter.
static constexpr double changeFactor = 2;
/// Older load reports are ignored, because the queue may have changed since.
static constexpr Milliseconds loadLifetime { 1000 };
/// A lagging report of "serving" within this time does not revert "draining".
static constexpr Milliseconds drainingHold { 5000 };
/// Without a new report for this time, parts go to the dispatcher again; it polls the target and refuses parts while
/// the target drains.
static constexpr Milliseconds drainingLifetime { 10000 };
static constexpr Milliseconds initialEjectionDuration { 2000 };
static constexpr Milliseconds maximumEjectionDuration { 30000 };
/// Number of successes since the last ejection after which the ejection duration is reset.
static constexpr uint32_t recoverySuccesses = 10;
static constexpr Milliseconds slowStartDuration { 5000 };
/// Factor of the cost at the beginning of a slow start; it falls linearly to 1.
static constexpr double initialSlowStartFactor = 10;

void TargetHealth::removeInFlight()
{
    if (this->inFlight > 0)
        --this->inFlight;
}

void TargetHealth::addSuccess(Milliseconds latency, Milliseconds now)
{
    this->failures = 0;
    ++this->samples;
    this->smooth(latency, now);
    if (++this->successes >= recoverySuccesses)
        this->ejectionDuration = {};
}

void TargetHealth::addLatencyLowerBound(Milliseconds elapsed, Milliseconds now)
{
    auto const decayed = this->decayedLatency(now);
    if (elapsed < decayed)
        return;
    ++this->samples;
    if (elapsed >= this->latency) {
        this->smooth(elapsed, now);
        return;
    }
    // The attempt exceeds the decayed latency but not the undecayed one, so the decay restarts from the latter.
    if (elapsed > decayed * changeFactor)
        this->lengthenHalfLife();
    this->lastSample = now;
}

void TargetHealth::lengthenHalfLife()
{
    this->halfLife = std::min(maximumHalfLife, std::max(initialHalfLife, this->halfLife) * 2);
}

void TargetHealth::adaptHalfLife(Milliseconds sample, Milliseconds now)
{
    if (sample > this->decayedLatency(now) * changeFactor)
        this->lengthenHalfLife();
    else if (sample * changeFactor < this->latency)
        this->halfLife = initialHalfLife;
}

Milliseconds TargetHealth::decayedLatency(Milliseconds now) const
{
    auto const age = std::max(0.0, (now - this->lastSample).value);
    auto const current = std::max(initialHalfLife, this->halfLife);
    return this->latency * std::exp2(-age / current.value);
}

void TargetHealth::smooth(Milliseconds sample, Milliseconds now)
{
    if (this->latency == Milliseconds {}) {
        this->latency = sample;
    } else {
        this->adaptHalfLife(sample, now);
        this->latency += (sample - this->latency) * smoothingFactor;
    }
    this->lastSample = now;
}

void TargetHealth::setState(TargetState next, Milliseconds now)
{
    if (next == TargetState::Draining) {
        this->lastDraining = now;
    } else if (this->state == TargetState::Draining && now - this->lastDraining < drainingHold) {
        return;
    } else if (next == TargetState::Serving && this->state != TargetState::Serving) {
        this->beginSlowStart(now);
    }
    this->state = next;
}

void TargetHealth::setLoad(TargetLoad const& reported, uint32_t queuedAtDispatcher, Milliseconds now)
{
    this->load = reported;
    this->dispatcherQueueLength = queuedAtDispatcher;
    this->loadTime = now;
}

void TargetHealth::backOffUntil(Milliseconds time) { this->backOffEnd = std::max(this->backOffEnd, time); }

void TargetHealth::eject(Milliseconds now)
{
    this->ejectionDuration = this->ejectionDuration == Milliseconds {}
        ? initialEjectionDuration
        : std::min(maximumEjectionDuration, this->ejectionDuration * 2);
    this->ejectedUntil = now + this->ejectionDuration;
    this->beginSlowStart(this->ejectedUntil);
    this->successes = 0;
    this->samples = 0;
    // The latency is measured anew after the ejection. After an ejection for failures, the next failure ejects the
    // target again.
    this->latency = {};
    this->failures = this->failures > 0 ? this->failures - 1 : 0;
}

bool TargetHealth::isDraining(Milliseconds now) const
{
    return this->state == TargetState::Draining && now - this->lastDraining < drainingLifetime;
}

double TargetHealth::slowStartFactor(Milliseconds now) const
{
    auto const age = std::max(0.0, (now - this->slowStartBegin).value);
    if (age >= slowStartDuration.value)
        return 1;
    return initialSlowStartFactor - (initialSlowStartFactor - 1) * age / slowStartDuration.value;
}

double TargetHealth::cost(uint32_t slots, Milliseconds fallbackLatency, Milliseconds now) const
{
    auto const fresh = now - this->loadTime < loadLifetime;
    auto const queued = fresh ? this->load.queued + this->dispatcherQueueLength : 0;
    // Without decay, a target that was slow once would never be chosen again.
    auto const expected = this->latency == Milliseconds {} ? fallbackLatency : this->decayedLatency(now);
    auto const work = (this->inFlight + queued + 1.0) / std::max(1U, slots);
    return work * expected.value * this->slowStartFactor(now);
}

Json::Value TargetHealth::describe(Milliseconds now) const
{
    Json::Value result(Json::objectValue);
    result["inFlight"] = this->inFlight;
    result["failuresInRow"] = this->failures;
    result["latencyMs"] = this->latency.value;
    result["state"] = this->isDraining(now) ? "draining" : this->isStarting() ? "starting" : "serving";
    result["ejected"] = this->isEjected(now);
    result["backingOff"] = this->isBackingOff(now);
    return result;
}

} // namespace Toucan
