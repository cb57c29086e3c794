#pragma once

#include "Base/ByteBudget.h"
#include "Gateway/Gateway.h"
#include "Gateway/ObservationOutbox.h"
#include "Gateway/RegistrySync.h"
#include "GatewayNode/GatewaySettings.h"
#include "GatewayNode/RelayClient.h"
#include "GatewayNode/RelayServer.h"
#include "Net/EventLoop.h"
#include "Net/HttpClientPool.h"
#include "Net/HttpServer.h"
#include "Quota/QuotaClient.h"
#include "Quota/QuotaIssuer.h"
#include "Succession/IssuingShare.h"
#include "Succession/RelaySuccession.h"
#include "Workspaces/ConfirmationMonitor.h"

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

namespace Toucan {

/// One gateway process: serves callers, followers, targets, readiness and metrics on a single event loop, because a
/// small VM runs one thread at a time. The platform adapter supplies access to the registry as hooks.
class GatewayServer {
public:
    struct Hooks {
        /// Creates the hooks that call the registry (list and watch); the loop outlives them.
        std::function<RegistrySync::Hooks(EventLoop&, GatewaySettings const&)> connectRegistry;
        /// Decodes entries that other nodes forward.
        RegistryDecoder decodeEntry;
        /// Rewrites entries into the compact form for other nodes.
        RegistryCompactor compactEntry;
        GatewayHeaders headers;
        /// Reads the settings again after reload().
        std::function<GatewaySettings()> readSettings;
    };

    /// Binds all listeners. Throws Error of kind InvalidSettings when one cannot be bound.
    GatewayServer(GatewaySettings settings, Hooks hooks);
    ~GatewayServer();
    GatewayServer(GatewayServer const&) = delete;
    GatewayServer& operator=(GatewayServer const&) = delete;

    /// Serves until a planned stop has ended.
    void run();
    /// Begins a planned stop: reports not ready at once, later closes the listener for callers, and makes run()
    /// return when the running requests have ended or the stop time is over. May be called from a signal handler.
    void stop();
    /// Reads the settings again and applies the stop time, balancer lag and connection sharers. May be called from a
    /// signal handler.
    void reload();

private:
    GatewayHooks createGatewayHooks();
    RegistrySync::Hooks createRegistryHooks();
    RelayServer::Hooks createRelayHooks();
    /// Sends the observations to the followed relay, which forwards them to the other relays; with hundreds of nodes,
    /// reports of every node to every relay would be most of a relay's traffic.
    void shareObservations(std::span<TargetObservation const> observations);
    void notifyOtherRelays(std::span<TargetObservation const> observations);
    void report(std::string const& relay, RelayClient::Reporter reporter, std::string const& body);
    bool isRelay() const;
    std::unique_ptr<QuotaIssuer> createQuotaIssuer();
    QuotaClient::Hooks createQuotaHooks();
    /// Sends a request for tokens to a relay, which may be this node.
    void askQuota(std::string const& relay, QuotaRequest const& request, QuotaClient::AskDone done);
    /// Answers a request for tokens of another node or of this one; returns false, without a call of `done`, when this
    /// node issues none.
    bool answerQuota(QuotaRequest const& request, std::function<void(QuotaAnswer&&)> done);
    /// Applies this node's present part of the limits to its issuer; returns whether it issues any.
    bool applyIssuingShare();
    /// Upper estimate of the number of nodes.
    uint32_t assumedNodes() const;
    void applyRoster(std::optional<RelayRoster> const& roster, uint64_t revision);
    /// Follows, asks and counts for the relays in force.
    void applyRelays();
    /// Asks the relays whether they run, decides on changes of the roster, and repeats it.
    void superviseRelays();
    /// Applies the limits of workspaces.
    void setQuotaRules(RoutingConfiguration const& configuration);
    /// Whether this relay is the first one of the list that runs.
    bool isFirstRunningRelay(Milliseconds now) const;
    /// Tells the other relays which nodes follow this one, and repeats it.
    void countNodes();
    HttpServerSession::Hooks createCallerHooks();
    HttpServer::Limits callerLimits();
    HttpClientPool::Limits targetLimits();
    Canceller sendAttempt(AttemptMessage&& message, std::function<void(AttemptReply&&)> done);
    /// Opens one connection to a target to learn whether its process has ended.
    void probeTarget(std::string const& address, std::function<void(ProbeResult)> done);
    /// Connections that this node may open to one target, so that all nodes together stay below the target's limit.
    uint32_t connectionShare(uint32_t limit) const;
    void onCallerRequest(HttpServerSession::Pointer const& session, HttpServerRequest&& request);
    void onCallerDisconnected(HttpServerSession::Pointer const& session);
    void answerReadiness(HttpServerSession::Pointer const& session);
    void answerMetrics(HttpServerSession::Pointer const& session, HttpServerRequest const& request);
    bool isReady() const;
    void onTurn();
    /// Logs once when the configuration has not been confirmed for too long, and when it is again.
    void reportConfirmation();
    /// Divides the allowance of extra attempts by the known number of nodes.
    void applyAllowance();
    void beginStop();
    void continueStop();
    /// Answers the requests that still run at the end of the stop time, instead of closing their connections.
    void answerRunning();
    void onUnexpectedError(std::exception const& exception);
    void reloadSettings();

    GatewaySettings settings;
    Hooks hooks;
    std::mt19937_64 randomEngine;
    EventLoop loop;
    RelaySuccession succession;
    IssuingShare issuing;
    /// Part of the limits that the issuer was last given.
    double issuingShare { 0 };
    bool hasLimits { false };
    bool supervisesRelays { false };
    bool countsNodes { false };
    /// Issues tokens of workspaces' limits; null on a node that can only ask relays.
    std::unique_ptr<QuotaIssuer> quotaIssuer;
    QuotaClient quota;
    Gateway gateway;
    std::shared_ptr<ByteBudget> answerBudget;
    std::shared_ptr<ByteBudget> callerBudget;
    HttpClientPool pool;
    CallerLimits appliedLimits;
    HttpServer callers;
    HttpServer readiness;
    std::unique_ptr<HttpServer> metrics;
    RelayClient relayClient;
    RegistrySync registry;
    ConfirmationMonitor confirmation;
    ExtraAttemptAllowance allowance;
    ExtraAttemptAllowance::Nodes allowanceNodes;
    std::unique_ptr<RelayServer> relayServer;
    /// Observations that followers reported, batched for the other relays.
    ObservationOutbox relayOutbox;
    /// Time at which each other relay last accepted a report of nodes.
    std::unordered_map<std::string, Milliseconds> relayHeardAt;
    std::unordered_map<HttpServerSession*, std::shared_ptr<GatewayRequest>> requestsBySession;
    std::atomic<bool> stopRequested { false };
    std::atomic<bool> reloadRequested { false };
    std::optional<Milliseconds> stopStarted;
    bool callersClosed { false };
};

} // namespace Toucan
