#pragma once

#include "Gateway/DecisionLog.h"
#include "Gateway/ExtraAttemptBudget.h"
#include "Gateway/GatewayMessages.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/ObservationOutbox.h"
#include "Gateway/RouteLatencies.h"
#include "Gateway/TargetDirectory.h"
#include "Gateway/TargetSelector.h"

#include <functional>

namespace Toucan {

/// Effects of the gateway's decisions; the engine itself has no sockets, timers or threads.
struct GatewayHooks {
    /// Starts an attempt. `done` is called once, never from within the call, unless the attempt is cancelled.
    std::function<Canceller(AttemptMessage&&, std::function<void(AttemptReply&&)> done)> send;
    std::function<Canceller(Milliseconds at, std::function<void()>)> schedule;
    std::function<Milliseconds()> now;
    /// This node's part of the connections that a target accepts.
    std::function<uint32_t(uint32_t limit)> connectionShare;
    /// Whether a request to an address needs no new connection; may be empty.
    std::function<bool(std::string const& address)> hasIdleConnection;
    /// Closes kept connections to an address whose connections went silent.
    std::function<void(std::string const& address)> closeIdle;
    /// Tells the other nodes what this one learned of targets; may be empty.
    std::function<void(std::vector<TargetObservation>&&)> shareObservations;
    /// Numbers in [0, 1).
    std::function<double()> random;
    /// Writes one log line; must not block.
    std::function<void(std::string const&)> log;
};

/// What the requests of one gateway share.
struct GatewayContext {
    GatewayHooks hooks;
    GatewayHeaders headers;
    DecisionLog log;
    GatewayMetrics metrics;
    TargetDirectory directory;
    TargetSelector selector;
    ExtraAttemptBudget budget;
    RouteLatencies latencies;
    ObservationOutbox outbox;
    /// Largest answer of a target that is forwarded.
    size_t answerBytes { 0 };
    /// Requests that have not been answered.
    size_t running { 0 };
    /// Estimated memory of these requests.
    size_t runningBytes { 0 };
};

} // namespace Toucan
