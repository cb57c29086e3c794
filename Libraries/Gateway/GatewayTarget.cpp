#include "Gateway/GatewayTarget.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Weights of one observation in the exponential moving averages. After five observations, an old slowdown still counts
/// for one third and an old failure share for one sixth.
constexpr double slowdownWeight = 0.2;
constexpr double failureWeight = 0.3;
/// Upper bound of one observed latency ratio, so that a single pause or tail value does not dominate the estimate.
constexpr double maximumLatencyRatio = 5;
/// Time constants with which the estimates decay to the normal value, so that a target that gets no requests is tried
/// again.
constexpr Milliseconds slowdownDecayTime { 3000 };
constexpr Milliseconds failureDecayTime { 2500 };
/// Weight of one report in the moving average of the queue, and the time constant with which it decays, so that a
/// target that gets no requests is tried again.
constexpr double queueWeight = 0.3;
constexpr Milliseconds queueDecayTime { 500 };
/// Largest factor by which requests take longer at a target that is warming up.
constexpr double warmUpFactor = 1.6;
/// Penalty for targets in other failure domains, because traffic between domains is billed: a share of the usual
/// latency within bounds. It includes the higher network latency.
constexpr double remotePenaltyRatio = 0.7;
constexpr Milliseconds minimumRemotePenalty { 4 };
constexpr Milliseconds maximumRemotePenalty { 25 };
/// A request that is unanswered for this many times the expected latency suggests that the target has stalled.
constexpr double stalledRatio = 2.5;
constexpr Milliseconds minimumStallTime { 12 };
/// Added to the expected latency of a stalled target: the time for which such a pause usually still lasts.
constexpr Milliseconds stallPenalty { 80 };
/// Cost of a failed attempt in multiples of the usual latency: the retry starts from the beginning.
constexpr double failurePenaltyRatio = 6;
/// Time that a target takes to accept a connection. Including it makes a node with few requests prefer the replicas to
/// which it is connected, so that the connections of many nodes do not exceed the limit of each target.
constexpr Milliseconds newConnectionTime { 6 };
/// A reported slowdown is sent to the other nodes when it or the expected one is large enough to affect the choice of
/// targets, and the two differ by at least the ratio.
constexpr double minimumSharedSlowdown = 2;
constexpr double minimumSharedChange = 1.5;
/// Time for which an unreachable target gets no requests; it doubles with each further failure to connect.
constexpr Milliseconds initialBlockTime { 250 };
constexpr Milliseconds maximumBlockTime { 2000 };
/// A target at its connection limit accepts again as soon as one of its connections ends, so this time does not grow.
constexpr Milliseconds fullTargetBlockTime { 250 };
/// Share of a cold target's rate that all nodes together use, and the time in which a permit must be used. In any
/// second they send 0.94 times the rate on average when every permit is used, so that the random phases of many nodes
/// stay within the bound of 1.5 times the rate and 5 requests.
constexpr double coldRateShare = 0.75;
constexpr Milliseconds coldPermitLifetime { 250 };

GatewayTarget::GatewayTarget(TargetRegistration registration, bool sameFailureDomain, Milliseconds now)
    : entry(std::move(registration))
    , sameFailureDomain(sameFailureDomain)
    , warmUpEnd(now + this->entry.warmUpLeft)
    , drainStart(now)
    , firstKnown(now)
    , slowdownEstimatedAt(now)
    , queueEstimatedAt(now)
    , failureEstimatedAt(now)
{
}

void GatewayTarget::update(TargetRegistration registration, Milliseconds now)
{
    if (registration.state != this->entry.state)
        this->drainStart = now;
    if (registration.address != this->entry.address) {
        this->replaced = false;
        this->blockedUntil = {};
    }
    this->warmUpEnd = now + registration.warmUpLeft;
    this->entry = std::move(registration);
}

void GatewayTarget::refresh(TargetRegistration registration, Milliseconds now)
{
    // A later statement of the same time that is left; the same entry read again states nothing new.
    if (registration.sequence > this->entry.sequence)
        this->warmUpEnd = now + registration.warmUpLeft;
    this->entry = std::move(registration);
}

bool GatewayTarget::limitWhileCold(double requestsPerSecond, double share, double phase, Milliseconds now)
{
    if (requestsPerSecond <= 0 || !this->isCold(now)) {
        this->coldLimit.reset();
        return false;
    }
    auto const rate = requestsPerSecond * coldRateShare;
    if (this->coldLimit) {
        this->coldLimit->setRate(rate, now);
        this->coldLimit->setShare(share, now);
        return false;
    }
    this->coldLimit.emplace(rate, share, phase, now, coldPermitLifetime);
    return true;
}

Milliseconds GatewayTarget::permitAt(Milliseconds now) const
{
    auto at = now;
    if (this->limit)
        at = std::max(at, this->limit->permitAt(now));
    if (this->isLimitedAsCold(now))
        at = std::max(at, std::min(this->coldLimit->permitAt(now), this->warmUpEnd));
    return at;
}

void GatewayTarget::waitUntil(Milliseconds end, Milliseconds returnAt)
{
    if (end <= this->wantedWaitEnd)
        return;
    this->wantedWaitEnd = end;
    this->returnAt = std::max(end, returnAt);
    this->returning = true;
}

bool GatewayTarget::takePermit(Milliseconds now)
{
    bool const isCold = this->isLimitedAsCold(now);
    if (isCold)
        this->coldLimit->takePermit(now);
    if (this->limit)
        this->limit->takePermit(now);
    return isCold || this->limit;
}

void GatewayTarget::returnPermit()
{
    if (this->limit)
        this->limit->returnPermit();
    if (this->coldLimit)
        this->coldLimit->returnPermit();
}

void GatewayTarget::onSent(Milliseconds now)
{
    this->sentTimes.push_back(now);
    this->returning = this->returning && this->isWaiting(now);
}

double GatewayTarget::slowdown(Milliseconds now) const
{
    if (auto const reported = this->reported.expected(now))
        return *reported;
    auto const decay = std::exp(-(now - this->slowdownEstimatedAt).value / slowdownDecayTime.value);
    return 1 + (this->slowdownEstimate - 1) * decay;
}

double GatewayTarget::failureShare(Milliseconds now) const
{
    return this->failureEstimate * std::exp(-(now - this->failureEstimatedAt).value / failureDecayTime.value);
}

double GatewayTarget::queuePerSlot(Milliseconds now) const
{
    return this->queueEstimate * std::exp(-(now - this->queueEstimatedAt).value / queueDecayTime.value);
}

void GatewayTarget::block(Milliseconds now)
{
    auto const time = initialBlockTime * std::pow(2, std::min(this->consecutiveUnreachable, 8U));
    this->blockedUntil = now + std::min(time, maximumBlockTime);
    ++this->consecutiveUnreachable;
}

void GatewayTarget::onEnded(Result result, Milliseconds sentAt, std::optional<Milliseconds> typical, Milliseconds now)
{
    if (auto const found = std::find(this->sentTimes.begin(), this->sentTimes.end(), sentAt);
        found != this->sentTimes.end())
        this->sentTimes.erase(found);
    if (result == Result::Abandoned)
        return;
    if (result == Result::Full) {
        this->blockedUntil = now + fullTargetBlockTime;
        return;
    }
    if (result == Result::TurnedAway) {
        // Not a failure: the target is as good as before when its wait ends.
        this->consecutiveUnreachable = 0;
        this->blockedUntil = {};
        return;
    }
    bool const failed = result != Result::Succeeded;
    this->failureEstimate = this->failureShare(now) * (1 - failureWeight) + (failed ? failureWeight : 0);
    this->failureEstimatedAt = now;
    if (result == Result::Unreachable) {
        this->block(now);
        return;
    }
    this->consecutiveUnreachable = 0;
    this->blockedUntil = {};
    if (result != Result::Succeeded || !typical || typical->value <= 0)
        return;
    auto const ratio = std::clamp((now - sentAt).value / typical->value, 0.3, maximumLatencyRatio);
    this->slowdownEstimate = this->slowdown(now) * (1 - slowdownWeight) + ratio * slowdownWeight;
    this->slowdownEstimatedAt = now;
}

bool GatewayTarget::onLoadReport(ReportedLoad load, Milliseconds now)
{
    auto const queue = static_cast<double>(load.waiting) / std::max(load.slots, 1U);
    this->queueEstimate = this->queuePerSlot(now) * (1 - queueWeight) + queue * queueWeight;
    this->queueEstimatedAt = now;
    if (!load.slowdown)
        return false;
    auto const expectedSlowdown = this->reported.expected(now).value_or(1);
    this->reported.add(*load.slowdown, now);
    auto const [lower, higher] = std::minmax(expectedSlowdown, *load.slowdown);
    return higher >= minimumSharedSlowdown && higher >= lower * minimumSharedChange;
}

double GatewayTarget::expectedWaiting(uint32_t connections) const
{
    double const slots = std::max(this->entry.slots, 1U);
    // Requests of this node wait for a slot of the target or for one of this node's connections to it. The queue that
    // the target reported with its last answer is not used: it empties within a few milliseconds, long before the next
    // request of this node.
    double const concurrency = std::min(slots, static_cast<double>(connections));
    return std::max(0.0, static_cast<double>(this->sentTimes.size()) + 1 - concurrency) * slots / concurrency;
}

Milliseconds GatewayTarget::expectedLatency(RequestConditions const& conditions, Milliseconds now) const
{
    auto const typical = conditions.typical;
    auto const& mechanisms = conditions.mechanisms;
    auto expected = typical;
    if (mechanisms.isEnabled(Mechanism::SlowdownAwareChoice))
        expected = expected * this->slowdown(now);
    if (this->warmUpEnd > now)
        expected = expected * warmUpFactor;
    if (mechanisms.isEnabled(Mechanism::LoadAwareChoice))
        expected = expected * (1 + this->expectedWaiting(conditions.connections) / std::max(this->entry.slots, 1U));
    if (mechanisms.isEnabled(Mechanism::FailureAwareChoice))
        expected += typical * (failurePenaltyRatio * this->failureShare(now));
    if (!this->sentTimes.empty()) {
        auto const limit = std::max(expected * stalledRatio, minimumStallTime);
        if (now - this->sentTimes.front() > limit)
            expected += stallPenalty;
    }
    if (conditions.hasIdleConnection && !conditions.hasIdleConnection(this->entry.address))
        expected += newConnectionTime;
    if (conditions.hasConnection && !conditions.hasConnection(this->entry.address))
        expected += conditions.rejectionCost;
    if (!this->sameFailureDomain && mechanisms.isEnabled(Mechanism::FailureDomainPreference))
        expected += std::clamp(typical * remotePenaltyRatio, minimumRemotePenalty, maximumRemotePenalty);
    return expected;
}

} // namespace Toucan
