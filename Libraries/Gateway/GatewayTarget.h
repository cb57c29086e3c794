#pragma once

#include "Gateway/Mechanisms.h"
#include "Gateway/ReportedSlowdown.h"
#include "Gateway/TargetRateLimit.h"
#include "Gateway/TargetRegistration.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

namespace Toucan {

/// Load that a target reported with an answer.
struct ReportedLoad {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    uint32_t slots { 0 };
    /// Ratio of the present processing time to the usual one; empty when the target does not report it.
    std::optional<double> slowdown;
};

/// Registration of one target and what this node has observed of it.
class GatewayTarget {
public:
    /// What the end of an attempt says about the condition of the target.
    enum class Result {
        Succeeded,
        /// An answer other than a success, an answer of another target, or a broken exchange.
        Failed,
        /// The target did not start the request.
        NotRun,
        /// The target did not start the request and stated how long it wants none; see waitUntil().
        TurnedAway,
        /// No connection could be made.
        Unreachable,
        /// The target accepts no more connections; it serves the existing ones.
        Full,
        /// This node cancelled the attempt for a reason that does not concern the target.
        Abandoned,
    };

    /// What the expected latency of a request depends on besides the target: the usual latency of such requests and
    /// this node's connections.
    struct RequestConditions {
        /// Median latency of such requests.
        Milliseconds typical;
        /// Connections that this node may open to one target.
        uint32_t connections { 1 };
        /// Whether a request to an address needs no new connection; may be empty.
        std::function<bool(std::string const& address)> hasIdleConnection {};
        Mechanisms mechanisms {};
        /// Expected cost of resets of new connections, for a target without a connection; see RejectedConnections.
        Milliseconds rejectionCost {};
        /// Whether a connection to an address is open or being opened; may be empty.
        std::function<bool(std::string const& address)> hasConnection {};
    };

    GatewayTarget(TargetRegistration registration, bool sameFailureDomain, Milliseconds now);

    TargetRegistration const& registration() const { return this->entry; }
    /// Replaces the registration with a newer one of the same incarnation.
    void update(TargetRegistration registration, Milliseconds now);

    /// Replaces the registration with one that differs in the sequence number only.
    void refresh(TargetRegistration registration, Milliseconds now);

    void onSent(Milliseconds now);
    /// `sentAt` is the time passed to onSent(); `typical` the median latency of such requests, when known.
    void onEnded(Result result, Milliseconds sentAt, std::optional<Milliseconds> typical, Milliseconds now);
    /// Returns whether the reported slowdown differs so much from the expected one that it must be sent to other nodes.
    bool onLoadReport(ReportedLoad load, Milliseconds now);
    /// Records a slowdown that the target reported to another node at the given time.
    void onSharedSlowdown(double slowdown, Milliseconds at) { this->reported.add(slowdown, at); }
    /// Whether an operator evacuates the target's failure domain; it then receives nothing.
    void setEvacuated(bool isEvacuated) { this->evacuated = isEvacuated; }
    bool isEvacuated() const { return this->evacuated; }
    /// Called when another target answered at the address; no request is sent until the registration has another
    /// address or the target has restarted.
    void onReplaced() { this->replaced = true; }
    /// Called when the target said that it is about to stop; it receives nothing any more. Only a registration of a
    /// newer incarnation ends this.
    void onLeaving() { this->leaving = true; }
    /// The target wants no requests from this node before `end`; it receives the next one at `returnAt`, which is not
    /// earlier. Has no effect when an earlier statement lasts longer.
    void waitUntil(Milliseconds end, Milliseconds returnAt);
    /// Replaces the rate limit; empty when the target states none.
    void setRateLimit(std::optional<TargetRateLimit> const& stated) { this->limit = stated; }
    /// Called when this node learns at which rate limit, or without one, the target was at the given time.
    void onRateLimitKnown(Milliseconds at) { this->limitKnownAt = std::max(this->limitKnownAt, at); }
    /// Latest time passed to onRateLimitKnown(); 0 before the first.
    Milliseconds rateLimitKnownAt() const { return this->limitKnownAt; }
    /// Null when the target states none.
    TargetRateLimit const* rateLimit() const { return this->limit ? &*this->limit : nullptr; }
    TargetRateLimit* rateLimit() { return this->limit ? &*this->limit : nullptr; }
    /// Whether the target's warm-up lasts: it is slow.
    bool isCold(Milliseconds now) const { return this->warmUpEnd > now; }
    /// Bounds the requests of all nodes together while the target is cold; 0 ends the bound. `share` and `phase` as in
    /// TargetRateLimit. Returns whether a bound begins.
    bool limitWhileCold(double requestsPerSecond, double share, double phase, Milliseconds now);
    bool isLimitedAsCold(Milliseconds now) const { return this->coldLimit && this->isCold(now); }
    /// Time from which on this node has a permit under both limits; not after `now` when it has one.
    Milliseconds permitAt(Milliseconds now) const;
    /// Whether the target limits its load, or is cold, and this node may not send it a request now.
    bool isAtRateLimit(Milliseconds now) const { return this->permitAt(now) > now; }
    /// Takes a permit for one request; returns false when there is no limit.
    bool takePermit(Milliseconds now);
    /// Called when the request for which a permit was taken has not been sent.
    void returnPermit();
    /// Called when the registration was removed or replaced by one of another incarnation.
    void onRemoved() { this->removed = true; }

    bool isDraining() const { return this->entry.state == TargetRegistration::State::Draining; }
    /// Time at which this node received the present state of the target, also while it is not draining.
    Milliseconds drainingSince() const { return this->drainStart; }
    bool isReplaced() const { return this->replaced; }
    bool isLeaving() const { return this->leaving; }
    /// Time before which the target receives nothing because it asked this node to wait.
    Milliseconds waitEnd() const { return this->returnAt; }
    bool isWaiting(Milliseconds now) const { return this->returnAt > now; }
    /// Whether the target has received nothing since it asked this node to wait.
    bool isReturning() const { return this->returning; }
    /// Time from which on this node has known this incarnation of the target.
    Milliseconds knownSince() const { return this->firstKnown; }
    bool isRemoved() const { return this->removed; }
    bool isBlocked(Milliseconds now) const { return this->blockedUntil > now; }
    Milliseconds blockEnd() const { return this->blockedUntil; }
    size_t running() const { return this->sentTimes.size(); }
    /// Expected latency of a request, with penalties for another failure domain, failures, queued requests and stalled
    /// requests. Lower is better.
    Milliseconds expectedLatency(RequestConditions const& conditions, Milliseconds now) const;
    /// Requests that wait at the target for each of its slots, by its recent load reports; 0 without reports.
    double queuePerSlot(Milliseconds now) const;
    /// Ratio of the target's present latency to the usual one, as reported by the target or else as observed.
    double slowdown(Milliseconds now) const;
    /// Moving average of the share of attempts that failed, 0 to 1.
    double failureShare(Milliseconds now) const;

private:
    /// Requests of this node that wait before a new one, at the target or for one of its connections.
    double expectedWaiting(uint32_t connections) const;
    void block(Milliseconds now);

    TargetRegistration entry;
    bool sameFailureDomain;
    /// Time at which the target's warm-up ends.
    Milliseconds warmUpEnd;
    Milliseconds drainStart;
    bool replaced { false };
    bool removed { false };
    bool leaving { false };
    bool evacuated { false };
    Milliseconds firstKnown;
    Milliseconds wantedWaitEnd;
    Milliseconds returnAt;
    bool returning { false };
    std::optional<TargetRateLimit> limit;
    /// Applies until warmUpEnd.
    std::optional<TargetRateLimit> coldLimit;
    Milliseconds limitKnownAt;
    /// Times at which the running requests were sent, oldest first.
    std::vector<Milliseconds> sentTimes;
    double slowdownEstimate { 1 };
    Milliseconds slowdownEstimatedAt;
    /// Moving average of the waiting requests for each slot that the target reported.
    double queueEstimate { 0 };
    Milliseconds queueEstimatedAt;
    double failureEstimate { 0 };
    Milliseconds failureEstimatedAt;
    uint32_t consecutiveUnreachable { 0 };
    Milliseconds blockedUntil;
    ReportedSlowdown reported;
};

} // namespace Toucan
