#pragma once

#include "FleetStart/RejectedConnections.h"
#include "Gateway/DecisionLog.h"
#include "Gateway/ExtraAttemptBudget.h"
#include "Gateway/GatewayMessages.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/Mechanisms.h"
#include "Gateway/ObservationOutbox.h"
#include "Gateway/PartAdmission.h"
#include "Gateway/RetryAdvice.h"
#include "Gateway/RouteLatencies.h"
#include "Gateway/RoutingConfiguration.h"
#include "Gateway/TargetDirectory.h"
#include "Gateway/TargetSelector.h"
#include "Quarantine/QuarantineList.h"
#include "Quarantine/TerminationVerdicts.h"
#include "Quota/QuotaClient.h"
#include "Workspaces/FairAdmission.h"
#include "Workspaces/WorkspaceMetrics.h"

#include <functional>

namespace Toucan {

/// I/O, timers, clock and randomness that the gateway uses; the gateway itself has no sockets, timers or threads.
struct GatewayHooks {
    /// Starts an attempt. `done` is called once, never from within the call, unless the attempt is cancelled.
    std::function<Canceller(AttemptMessage&&, std::function<void(AttemptReply&&)> done)> send;
    std::function<Canceller(Milliseconds at, std::function<void()>)> schedule;
    std::function<Milliseconds()> now;
    /// Connections that this node may open to a target that accepts `limit` connections from all nodes together.
    std::function<uint32_t(uint32_t limit)> connectionShare;
    /// Whether a request to an address needs no new connection; may be empty.
    std::function<bool(std::string const& address)> hasIdleConnection;
    /// Whether a connection to an address is open or being opened; may be empty.
    std::function<bool(std::string const& address)> hasConnection {};
    /// Ends with Withdrawn the attempts at an address that still wait to be sent and whose maySend declines; their
    /// `done` is not called from within the call. May be empty.
    std::function<void(std::string const& address)> withdrawUnsent;
    /// Closes the idle connections to an address after one of its connections stopped responding.
    std::function<void(std::string const& address)> closeIdle;
    /// Opens one connection to an address and closes it; see TerminationVerdicts. May be empty.
    std::function<void(std::string const& address, std::function<void(ProbeResult)> done)> probe {};
    /// Sends this node's observations of targets to the other nodes; may be empty.
    std::function<void(std::vector<TargetObservation>&&)> shareObservations;
    /// Uniformly distributed numbers in [0, 1).
    std::function<double()> random;
    /// Requests per second of a workspace over all nodes; empty when it is not known. May be empty.
    WorkspaceRates::FleetRate workspaceRate {};
    /// Writes one log line; must not block.
    std::function<void(std::string const&)> log;
    /// Called when another configuration is in force; may be empty.
    std::function<void(RoutingConfiguration const&)> installed {};
    /// Tokens for requests of workspaces with a limit; null where none are limited. Must outlive the requests.
    QuotaClient* quota { nullptr };
};

/// State that all requests of one gateway share.
struct GatewayContext {
    GatewayHooks hooks;
    GatewayHeaders headers;
    DecisionLog log;
    GatewayMetrics metrics;
    TargetDirectory directory;
    TargetSelector selector;
    PartAdmission admission;
    RetryAdvice retryAdvice;
    ExtraAttemptBudget budget;
    RouteLatencies latencies;
    ObservationOutbox outbox;
    TerminationVerdicts verdicts;
    QuarantineList quarantine;
    RejectedConnections rejectedConnections;
    /// Largest answer of a target that is forwarded, in bytes.
    size_t answerBodyLimit { 0 };
    Mechanisms mechanisms;
    FairAdmission fairAdmission;
    WorkspaceMetrics workspaceMetrics {};
    /// Requests that have been neither answered nor abandoned by their callers.
    size_t running { 0 };
    /// Estimated memory of these requests, in bytes.
    size_t runningBytes { 0 };
};

} // namespace Toucan
