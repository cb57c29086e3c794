#include "Engine/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

static constexpr double smoothing = 0.1;
/// The latency of an untried target fades with a half-life that doubles with each try that finds it slow again.
/// With 1 s alone, each of 7 nodes tried a replica that is slow tenfold every 3 s, which decided the 99th percentile.
static constexpr Milliseconds firstHalfLife { 1000 };
static constexpr Milliseconds longestHalfLife { 16000 };
/// A sample above this multiple of the faded latency, or below its inverse, is a change and no jitter.
static constexpr double changeFactor = 2;
/// Reports older than this say nothing about the present queue.
static constexpr Milliseconds loadLifetime { 1000 };
/// A lagging report of "serving" within this time does not undo "draining".
static constexpr Milliseconds drainingHold { 5000 };
/// Without news the carrier is asked again; it polls the target and refuses while the target drains.
static constexpr Milliseconds drainingLifetime { 10000 };
static constexpr Milliseconds firstEjection { 2000 };
static constexpr Milliseconds longestEjection { 30000 };
/// Successes in a row after which the next ejection is a first one again.
static constexpr uint32_t recoverySuccesses = 10;
static constexpr Milliseconds slowStartDuration { 5000 };
static constexpr double firstSlowStartFactor = 10;

void TargetHealth::removeSent()
{
    if (this->inFlight > 0)
        --this->inFlight;
}

void TargetHealth::addSuccess(Milliseconds latency, Milliseconds now)
{
    this->failures = 0;
    ++this->answers;
    this->smooth(latency, now);
    if (++this->successes >= recoverySuccesses)
        this->ejection = {};
}

void TargetHealth::addLowerBound(Milliseconds elapsed, Milliseconds now)
{
    auto const faded = this->fadedLatency(now);
    if (elapsed < faded)
        return;
    ++this->answers;
    if (elapsed >= this->latency) {
        this->smooth(elapsed, now);
        return;
    }
    // The attempt contradicts the faded latency and agrees with the old one, so the old one counts again.
    if (elapsed > faded * changeFactor)
        this->lengthenHalfLife();
    this->lastSample = now;
}

void TargetHealth::lengthenHalfLife()
{
    this->halfLife = std::min(longestHalfLife, std::max(firstHalfLife, this->halfLife) * 2);
}

void TargetHealth::adaptHalfLife(Milliseconds sample, Milliseconds now)
{
    if (sample > this->fadedLatency(now) * changeFactor)
        this->lengthenHalfLife();
    else if (sample * changeFactor < this->latency)
        this->halfLife = firstHalfLife;
}

Milliseconds TargetHealth::fadedLatency(Milliseconds now) const
{
    auto const age = std::max(0.0, (now - this->lastSample).value);
    auto const current = std::max(firstHalfLife, this->halfLife);
    return this->latency * std::exp2(-age / current.value);
}

void TargetHealth::smooth(Milliseconds sample, Milliseconds now)
{
    if (this->latency == Milliseconds {}) {
        this->latency = sample;
    } else {
        this->adaptHalfLife(sample, now);
        this->latency += (sample - this->latency) * smoothing;
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

void TargetHealth::backOffUntil(Milliseconds time) { this->backOff = std::max(this->backOff, time); }

void TargetHealth::eject(Milliseconds now)
{
    this->ejection = this->ejection == Milliseconds {} ? firstEjection : std::min(longestEjection, this->ejection * 2);
    this->ejectedUntil = now + this->ejection;
    this->beginSlowStart(this->ejectedUntil);
    this->successes = 0;
    this->answers = 0;
    // The latency is learnt again after the ejection; a failure right after it ejects again.
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
    return firstSlowStartFactor - (firstSlowStartFactor - 1) * age / slowStartDuration.value;
}

double TargetHealth::cost(uint32_t slots, Milliseconds fallbackLatency, Milliseconds now) const
{
    auto const fresh = now - this->loadTime < loadLifetime;
    auto const queued = fresh ? this->load.queued + this->dispatcherQueueLength : 0;
    // A target that was slow once would never be tried again if its latency did not fade.
    auto const expected = this->latency == Milliseconds {} ? fallbackLatency : this->fadedLatency(now);
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
