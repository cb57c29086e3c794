#include "Gateway/GatewayTarget.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Weight of one observation in the moving averages; about five observations replace an old belief.
constexpr double slownessWeight = 0.2;
constexpr double failureWeight = 0.3;
/// A single pause or tail value must not make a target look much slower than it is.
constexpr double mostSlowness = 5;
/// Old observations fade, so that a target that gets no requests is tried again.
constexpr Milliseconds slownessFade { 3000 };
constexpr Milliseconds failureFade { 2500 };
/// Work at a cold target takes up to this much longer than usual.
constexpr double coldFactor = 1.6;
/// Handicap of targets in other failure domains, because bytes between them are paid for: a share of the usual latency
/// within bounds. It covers the longer way as well.
constexpr double remotePenaltyRatio = 0.7;
constexpr Milliseconds leastRemotePenalty { 4 };
constexpr Milliseconds mostRemotePenalty { 25 };
/// A request that is unanswered for this many times the usual latency suggests that the target stands still.
constexpr double stalledRatio = 2.5;
constexpr Milliseconds leastStall { 12 };
/// Usual rest of a pause that is noticed after the stall time.
constexpr Milliseconds stallPenalty { 80 };
/// Cost of a failed attempt in terms of waiting: the next one starts from nothing.
constexpr double failurePenaltyRatio = 6;
constexpr Milliseconds loadFresh { 250 };
/// Targets take this long to accept a connection. Counting it keeps a node with few requests on the replicas that it is
/// connected to, so that the connections of many nodes do not exceed the limit of each target.
constexpr Milliseconds newConnectionTime { 6 };
/// A slowdown is shared with the other nodes when it matters for the choice of targets and is news.
constexpr double leastSharedSlowdown = 2;
constexpr double sharedRatio = 1.5;
constexpr Milliseconds firstBlock { 250 };
constexpr Milliseconds longestBlock { 2000 };
/// A full target has room again as soon as one of its connections ends, so that the block does not grow.
constexpr Milliseconds fullBlock { 250 };

GatewayTarget::GatewayTarget(TargetRegistration registration, bool sameFailureDomain, Milliseconds now)
    : entry(std::move(registration))
    , sameFailureDomain(sameFailureDomain)
    , warmUntil(now + this->entry.warmUpLeft)
    , drainStart(now)
    , slownessAt(now)
    , failureAt(now)
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
    this->warmUntil = now + registration.warmUpLeft;
    this->entry = std::move(registration);
}

void GatewayTarget::onSent(Milliseconds now) { this->starts.push_back(now); }

double GatewayTarget::slowness(Milliseconds now) const
{
    if (auto const reported = this->reported.expected(now))
        return *reported;
    auto const fade = std::exp(-(now - this->slownessAt).value / slownessFade.value);
    return 1 + (this->slownessEstimate - 1) * fade;
}

double GatewayTarget::failureShare(Milliseconds now) const
{
    return this->failureEstimate * std::exp(-(now - this->failureAt).value / failureFade.value);
}

void GatewayTarget::block(Milliseconds now)
{
    auto const time = firstBlock * std::pow(2, std::min(this->unreachableInARow, 8U));
    this->blockedUntil = now + std::min(time, longestBlock);
    ++this->unreachableInARow;
}

void GatewayTarget::onEnded(Result result, Milliseconds sentAt, std::optional<Milliseconds> typical, Milliseconds now)
{
    if (auto const found = std::find(this->starts.begin(), this->starts.end(), sentAt); found != this->starts.end())
        this->starts.erase(found);
    if (result == Result::Abandoned)
        return;
    if (result == Result::Full) {
        this->blockedUntil = now + fullBlock;
        return;
    }
    bool const failed = result != Result::Answered;
    this->failureEstimate = this->failureShare(now) * (1 - failureWeight) + (failed ? failureWeight : 0);
    this->failureAt = now;
    if (result == Result::Unreachable) {
        this->block(now);
        return;
    }
    this->unreachableInARow = 0;
    this->blockedUntil = {};
    if (result != Result::Answered || !typical || typical->value <= 0)
        return;
    auto const ratio = std::clamp((now - sentAt).value / typical->value, 0.3, mostSlowness);
    this->slownessEstimate = this->slowness(now) * (1 - slownessWeight) + ratio * slownessWeight;
    this->slownessAt = now;
}

bool GatewayTarget::onLoad(ReportedLoad load, Milliseconds now)
{
    this->load = load;
    this->loadAt = now;
    if (!load.slowdown)
        return false;
    auto const believed = this->reported.expected(now).value_or(1);
    this->reported.add(*load.slowdown, now);
    auto const [less, more] = std::minmax(believed, *load.slowdown);
    return more >= leastSharedSlowdown && more >= less * sharedRatio;
}

Milliseconds GatewayTarget::expectedLatency(Demand const& demand, Milliseconds now) const
{
    auto const typical = demand.typical;
    auto expected = typical * this->slowness(now);
    if (this->warmUntil > now)
        expected = expected * coldFactor;
    double const slots = std::max(this->entry.slots, 1U);
    // Requests of this node wait for a slot, or for one of its own connections.
    double const lanes = std::min(slots, static_cast<double>(demand.connections));
    double waiting = std::max(0.0, static_cast<double>(this->starts.size()) + 1 - lanes) * slots / lanes;
    if (this->loadAt && now - *this->loadAt < loadFresh) {
        // The load of other callers, as it was when the target answered, fades with its age.
        auto const weight = 1 - (now - *this->loadAt).value / loadFresh.value;
        waiting = std::max(waiting, weight * (this->load.running + this->load.waiting + 1 - slots));
    }
    expected = expected * (1 + waiting / slots);
    expected += typical * (failurePenaltyRatio * this->failureShare(now));
    if (!this->starts.empty()) {
        auto const limit = std::max(expected * stalledRatio, leastStall);
        if (now - this->starts.front() > limit)
            expected += stallPenalty;
    }
    if (demand.hasIdleConnection && !demand.hasIdleConnection(this->entry.address))
        expected += newConnectionTime;
    if (!this->sameFailureDomain)
        expected += std::clamp(typical * remotePenaltyRatio, leastRemotePenalty, mostRemotePenalty);
    return expected;
}

} // namespace Toucan
