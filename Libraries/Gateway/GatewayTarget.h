#pragma once

#include "Gateway/ReportedSlowdown.h"
#include "Gateway/TargetRegistration.h"

#include <functional>
#include <optional>
#include <vector>

namespace Toucan {

/// Load that a target reported with an answer.
struct ReportedLoad {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    uint32_t slots { 0 };
    /// How long work takes at this moment, as a ratio to the usual time; empty when the target does not say.
    std::optional<double> slowdown;
};

/// One target as this node sees it: its registration and what the node observed of it.
class GatewayTarget {
public:
    /// How an attempt at the target ended, as far as the target's condition is concerned.
    enum class Result {
        Answered,
        /// An answer that reports a failure, or a broken exchange.
        Failed,
        /// The target did not start the request.
        Shed,
        /// No connection could be made.
        Unreachable,
        /// The target takes no more connections; it serves those that it has.
        Full,
        /// The node gave the attempt up for a reason of its own.
        Abandoned,
    };

    /// What a request asks of a target.
    struct Demand {
        /// Usual latency of such requests.
        Milliseconds typical;
        /// Connections that this node may open to one target.
        uint32_t connections { 1 };
        /// Whether a request to an address needs no new connection; may be empty.
        std::function<bool(std::string const& address)> hasIdleConnection {};
    };

    GatewayTarget(TargetRegistration registration, bool sameFailureDomain, Milliseconds now);

    TargetRegistration const& registration() const { return this->entry; }
    /// Takes a newer registration of the same incarnation.
    void update(TargetRegistration registration, Milliseconds now);

    /// Takes a registration that says the same.
    void refresh(TargetRegistration registration) { this->entry = std::move(registration); }

    void onSent(Milliseconds now);
    /// `sentAt` is the time given to onSent(); `typical` the usual latency of such a request, when known.
    void onEnded(Result result, Milliseconds sentAt, std::optional<Milliseconds> typical, Milliseconds now);
    /// Returns whether the reported slowdown differs so much from what the node believed that others should know.
    bool onLoad(ReportedLoad load, Milliseconds now);
    /// The target reported it to another node at the given time.
    void onSlowdown(double slowdown, Milliseconds at) { this->reported.add(slowdown, at); }
    /// Another target answered at the address: no request is sent until the registration changes.
    void onReplaced() { this->replaced = true; }

    bool isDraining() const { return this->entry.state == TargetRegistration::State::Draining; }
    Milliseconds drainingSince() const { return this->drainStart; }
    bool isReplaced() const { return this->replaced; }
    bool isBlocked(Milliseconds now) const { return this->blockedUntil > now; }
    Milliseconds blockEnd() const { return this->blockedUntil; }
    size_t running() const { return this->starts.size(); }
    /// Expected latency of a request, with penalties for distance, failures, queues and requests that have been
    /// unanswered for long. Lower is better.
    Milliseconds expectedLatency(Demand const& demand, Milliseconds now) const;
    /// Ratio of the target's present to the usual latency: as it reports itself, or else as observed.
    double slowness(Milliseconds now) const;
    double failureShare(Milliseconds now) const;

private:
    void block(Milliseconds now);

    TargetRegistration entry;
    bool sameFailureDomain;
    Milliseconds warmUntil;
    Milliseconds drainStart;
    bool replaced { false };
    /// Times at which the running requests were sent, oldest first.
    std::vector<Milliseconds> starts;
    double slownessEstimate { 1 };
    Milliseconds slownessAt;
    double failureEstimate { 0 };
    Milliseconds failureAt;
    uint32_t unreachableInARow { 0 };
    Milliseconds blockedUntil;
    ReportedLoad load;
    std::optional<Milliseconds> loadAt;
    ReportedSlowdown reported;
};

} // namespace Toucan
