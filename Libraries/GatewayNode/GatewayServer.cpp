#include "GatewayNode/GatewayServer.h"

#include "Base/Error.h"
#include "Net/ConnectProbe.h"
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <glog/logging.h>

namespace Toucan {

using Poco::Net::HTTPResponse;

/// When connecting takes longer, another target answers sooner.
constexpr Milliseconds targetConnectTimeout { 250 };
/// Idle connections are closed after this time, because they count towards the target's connection limit, which many
/// nodes share, and a node seldom reuses one later.
constexpr Milliseconds targetIdleTimeout { 4000 };
/// Longest delay of the first request on a new connection. A target at its connection limit resets a new connection
/// while accepting it, which takes at most about 6 ms.
constexpr Milliseconds newConnectionGrace { 20 };
/// Targets close the connections of a killed gateway process within this time.
constexpr Milliseconds staleConnectionTime { 5000 };
/// A process that ends may close its listener just after its connections.
constexpr Milliseconds probeDelay { 1 };
constexpr size_t targetHeaderBytes = 16384;
/// Divisors of the process's memory for answers of targets, for requests of callers with the answers that they have not
/// received yet, and for running requests. docs/design.md, section 9, lists the maximum memory of the process.
constexpr size_t answerMemoryDivisor = 16;
constexpr size_t callerMemoryDivisor = 32;
constexpr size_t runningMemoryDivisor = 8;
/// Bytes that every connection may buffer outside the shared budget, so that usual messages do not wait for large ones.
constexpr size_t answerAllowance = 16384;
constexpr size_t callerAllowance = 2048;
/// Reserve of the callers' byte budget, in bytes: more than the largest body that configurations allow.
constexpr size_t callerReserve = 1048576;
/// Bytes of one read; a connection exceeds its buffer space by at most one read.
constexpr size_t targetReceiveBytes = 16384;
constexpr size_t callerReceiveBytes = 4096;
/// Largest number of callers' connections; each takes a file descriptor and a few KB.
constexpr size_t callerConnections = 2000;
constexpr size_t adminConnections = 20;
/// Seconds after which a caller whose connection was refused should try again, as a header value.
constexpr auto refusedConnectionRetryAfter = "0.1";
/// Interval at which a stopping node checks whether it may exit.
constexpr Milliseconds stopPollPeriod { 50 };
/// Time to send the last answers before the loop stops.
constexpr Milliseconds finalOutputTime { 100 };

static size_t memoryShare(GatewaySettings const& settings, size_t divisor)
{
    constexpr size_t bytesPerMegabyte = 1048576;
    return settings.memoryMegabytes * bytesPerMegabyte / divisor;
}

GatewayServer::GatewayServer(GatewaySettings settings, Hooks hooks)
    : settings(std::move(settings))
    , hooks(std::move(hooks))
    , randomEngine(std::random_device {}())
    , succession({ this->settings.relayListen, this->settings.relays,
          [this] { return std::uniform_real_distribution<double>(0, 1)(this->randomEngine); } })
    , issuing({ this->settings.relayListen, this->settings.relays, Clock::bootTime(), this->settings.name })
    , quotaIssuer(this->createQuotaIssuer())
    , quota({ this->settings.name, this->settings.relays, this->settings.workspaceLimits }, this->createQuotaHooks())
    , gateway({ .failureDomain = this->settings.failureDomain,
                  .headers = this->hooks.headers,
                  .extraAttempts = this->settings.extraAttempts,
                  .maximumRunningBytes = memoryShare(this->settings, runningMemoryDivisor),
                  .answerBodyLimit = this->settings.answerBodyLimit,
                  .mechanisms = this->settings.mechanisms },
          this->createGatewayHooks())
    , answerBudget(ByteBudget::create(
          { memoryShare(this->settings, answerMemoryDivisor), answerAllowance, this->settings.answerBodyLimit }))
    , callerBudget(
          ByteBudget::create({ memoryShare(this->settings, callerMemoryDivisor), callerAllowance, callerReserve }))
    , pool(this->loop, this->targetLimits())
    , callers(this->loop, this->settings.callerListen, this->callerLimits(), this->createCallerHooks())
    , readiness(this->loop, this->settings.readyListen, { {}, adminConnections },
          { [this](HttpServerSession::Pointer const& session, HttpServerRequest&&) { this->answerReadiness(session); },
              {}, {}, {} })
    , relayClient(this->loop, this->hooks.decodeEntry, this->settings.name)
    , registry(this->gateway,
          { this->settings.relays, this->isRelay() ? this->settings.relayListen : "", this->settings.relayListen,
              this->settings.connectionSharers },
          this->createRegistryHooks())
    , allowance({ this->settings.extraAttempts.allowance, this->settings.totalExtraAttempts })
    , relayOutbox({ [] { return Clock::now(); },
          [this](Milliseconds at, std::function<void()> task) { this->loop.schedule(at, std::move(task)); },
          [this](std::vector<TargetObservation>&& observations) { this->notifyOtherRelays(observations); } })
{
    if (!this->settings.relayListen.empty())
        this->relayServer = std::make_unique<RelayServer>(
            this->loop, this->settings.relayListen, this->registry, this->createRelayHooks());
    if (!this->settings.metricsListen.empty())
        this->metrics = std::make_unique<HttpServer>(this->loop, this->settings.metricsListen,
            HttpServer::Limits { {}, adminConnections },
            HttpServerSession::Hooks { [this](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
                                          this->answerMetrics(session, request);
                                      },
                {}, {}, {} });
    if (this->settings.restarted)
        this->pool.expectResets(Clock::now() + staleConnectionTime);
    this->loop.setTurnHook([this] { this->onTurn(); });
    this->loop.setExceptionHook([this](std::exception const& exception) { this->onUnexpectedError(exception); });
}

GatewayServer::~GatewayServer() = default;

GatewayHooks GatewayServer::createGatewayHooks()
{
    GatewayHooks gatewayHooks;
    gatewayHooks.send = [this](AttemptMessage&& message, std::function<void(AttemptReply &&)> done) {
        return this->sendAttempt(std::move(message), std::move(done));
    };
    gatewayHooks.schedule = [this](Milliseconds at, std::function<void()> task) -> Canceller {
        return [this, timer = this->loop.schedule(at, std::move(task))] { this->loop.cancel(timer); };
    };
    gatewayHooks.connectionShare = [this](uint32_t limit) { return this->connectionShare(limit); };
    gatewayHooks.hasIdleConnection
        = [this](std::string const& address) { return this->pool.hasIdleConnection(address); };
    gatewayHooks.hasConnection = [this](std::string const& address) { return this->pool.openConnections(address) > 0; };
    gatewayHooks.now = [] { return Clock::now(); };
    gatewayHooks.closeIdle = [this](std::string const& address) { this->pool.closeIdle(address); };
    gatewayHooks.withdrawUnsent = [this](std::string const& address) { this->pool.withdrawUnsent(address); };
    gatewayHooks.probe = [this](std::string const& address, std::function<void(ProbeResult)> done) {
        this->probeTarget(address, std::move(done));
    };
    gatewayHooks.workspaceRate = [this](std::string_view workspace) {
        return this->quota.fleetDemand(workspaceLimitName(std::string(workspace)));
    };
    gatewayHooks.shareObservations
        = [this](std::vector<TargetObservation>&& observations) { this->shareObservations(observations); };
    gatewayHooks.random = [this] { return std::uniform_real_distribution<double>(0, 1)(this->randomEngine); };
    gatewayHooks.installed = [this](RoutingConfiguration const& installed) { this->setQuotaRules(installed); };
    gatewayHooks.quota = &this->quota;
    gatewayHooks.log = [](std::string const& line) { LOG(INFO) << line; };
    return gatewayHooks;
}

RegistrySync::Hooks GatewayServer::createRegistryHooks()
{
    auto registryHooks = this->hooks.connectRegistry(this->loop, this->settings);
    registryHooks.follow
        = [this](std::string const& relay, RelayRequest request, std::function<void(RelayUpdate &&)> done) {
              this->relayClient.follow(relay, std::move(request), std::move(done));
          };
    registryHooks.copy = [this](std::string const& relay, std::function<void(RelayUpdate &&)> done) {
        this->relayClient.copy(relay, std::move(done));
    };
    registryHooks.rosterRead
        = [this](std::optional<RelayRoster> const& roster, uint64_t revision) { this->applyRoster(roster, revision); };
    registryHooks.rosterTerm = [this] { return this->succession.roster() ? this->succession.roster()->term : 0; };
    registryHooks.bootTime = [] { return Clock::bootTime(); };
    registryHooks.confirmed = [this](Milliseconds at) { this->issuing.onConfirmed(at); };
    registryHooks.confirmedAge
        = [this] { return this->succession.roster() ? this->issuing.confirmedAge(Clock::bootTime()) : std::nullopt; };
    return registryHooks;
}

void GatewayServer::shareObservations(std::span<TargetObservation const> observations)
{
    this->gateway.sharedContext().log.line("observations-shared", { { "targets", toString(observations) } });
    if (this->isRelay() && this->relayServer) {
        this->relayServer->publish(observations);
        this->notifyOtherRelays(observations);
    } else if (auto const& relay = this->registry.followedRelay(); !relay.empty()) {
        this->report(relay, RelayClient::Reporter::Node, writeObservations(observations));
    }
}

void GatewayServer::notifyOtherRelays(std::span<TargetObservation const> observations)
{
    auto const body = writeObservations(observations);
    for (auto const& relay : this->succession.relays()) {
        if (relay != this->settings.relayListen)
            this->report(relay, RelayClient::Reporter::Relay, body);
    }
}

void GatewayServer::report(std::string const& relay, RelayClient::Reporter reporter, std::string const& body)
{
    this->relayClient.report(relay, reporter, body, [this, relay](std::string const& why) {
        this->gateway.sharedContext().metrics.count("observation_reports_lost");
        this->gateway.sharedContext().log.line("observations-lost", { { "relay", relay }, { "why", why } });
    });
}

HttpClientPool::Limits GatewayServer::targetLimits()
{
    HttpClientPool::Limits limits;
    limits.sizes = { targetHeaderBytes, this->settings.answerBodyLimit };
    limits.idleTimeout = targetIdleTimeout;
    limits.connectTimeout = targetConnectTimeout;
    limits.unframedBody = HttpMessageReader::UnframedBody::UntilClose;
    limits.connectionStarted = [this] { this->gateway.sharedContext().metrics.count("target_connections"); };
    if (this->settings.mechanisms.isEnabled(Mechanism::NewConnectionGrace))
        limits.maximumNewConnectionGrace = newConnectionGrace;
    limits.connectionLost = [this](std::string const& address) { this->gateway.onConnectionLost(address); };
    limits.budget = this->answerBudget;
    limits.receiveBytes = targetReceiveBytes;
    return limits;
}

HttpServer::Limits GatewayServer::callerLimits()
{
    auto const limits = this->gateway.callerLimits();
    HttpServer::Limits result;
    result.session.budget = this->callerBudget;
    result.session.receiveBytes = callerReceiveBytes;
    result.session.sizes = { limits.headerBytes, limits.bodyBytes };
    result.session.requestTimeout = limits.requestTimeout;
    result.session.idleTimeout = limits.idleTimeout;
    result.connections = callerConnections;
    result.refused = [this] { this->gateway.sharedContext().metrics.count("connections_refused"); };
    return result;
}

HttpServerSession::Hooks GatewayServer::createCallerHooks()
{
    HttpServerSession::Hooks callerHooks;
    callerHooks.request = [this](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
        try {
            this->onCallerRequest(session, std::move(request));
        } catch (std::exception const& exception) {
            this->onUnexpectedError(exception);
            session->refuse({ HTTPResponse::HTTP_INTERNAL_SERVER_ERROR, "The request met an unexpected error",
                "Report the id of the request to the operators" });
        }
    };
    callerHooks.writeErrorBody = [this](HttpError const& error, HTTPResponse& head, std::string&) {
        if (error.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
            head.set(this->hooks.headers.retryAfter, refusedConnectionRetryAfter);
    };
    callerHooks.disconnected
        = [this](HttpServerSession::Pointer const& session) { this->onCallerDisconnected(session); };
    return callerHooks;
}

uint32_t GatewayServer::connectionShare(uint32_t limit) const
{
    // Nodes may join, be replaced, and follow relays unevenly, so more nodes than the estimate are assumed.
    constexpr double reserve = 1.25;
    auto const assumedNodes = static_cast<uint32_t>(this->registry.estimatedNodes() * reserve);
    return std::max(1U, limit / std::max(this->settings.connectionSharers, assumedNodes));
}

static AttemptReply::Transport transportOf(HttpTransportStatus transport)
{
    switch (transport) {
    case HttpTransportStatus::Answered:
        return AttemptReply::Transport::Answered;
    case HttpTransportStatus::ConnectFailed:
    case HttpTransportStatus::NoConnection:
        return AttemptReply::Transport::NotSent;
    case HttpTransportStatus::Rejected:
        return AttemptReply::Transport::Rejected;
    case HttpTransportStatus::Withdrawn:
        return AttemptReply::Transport::Withdrawn;
    case HttpTransportStatus::TimedOut:
        return AttemptReply::Transport::TimedOut;
    case HttpTransportStatus::Broken:
        break;
    }
    return AttemptReply::Transport::Broken;
}

Canceller GatewayServer::sendAttempt(AttemptMessage&& message, std::function<void(AttemptReply&&)> done)
{
    HttpExchange exchange;
    exchange.head = message.head;
    exchange.body = std::move(message.body);
    exchange.timeout = message.timeout;
    exchange.bodyLimit = message.bodyLimit;
    exchange.connection
        = message.needsFreshConnection ? HttpExchange::Connection::Fresh : HttpExchange::Connection::Any;
    exchange.whenBusy = message.mayWait ? HttpExchange::WhenBusy::Wait : HttpExchange::WhenBusy::Drop;
    exchange.assigned = std::move(message.assigned);
    exchange.maySend = std::move(message.maySend);
    exchange.beforeSending = std::move(message.beforeSending);
    exchange.onResponseHead = std::move(message.onResponseHead);
    exchange.isOwnResponse = std::move(message.isOwnResponse);
    exchange.done = [done = std::move(done)](HttpClientResult&& result) {
        done({ transportOf(result.transport), result.head, std::move(result.body), std::move(result.fault),
            std::move(result.memory) });
    };
    auto const handle = this->pool.send(message.address, message.connections, std::move(exchange));
    return [this, address = std::move(message.address), handle] { this->pool.cancel(address, handle); };
}

void GatewayServer::probeTarget(std::string const& address, std::function<void(ProbeResult)> done)
{
    this->gateway.sharedContext().metrics.count("termination_probes");
    auto const report = [done = std::move(done)](ConnectProbeResult result) {
        if (result == ConnectProbeResult::Refused)
            done(ProbeResult::Refused);
        else
            done(result == ConnectProbeResult::Accepted ? ProbeResult::Accepted : ProbeResult::NoAnswer);
    };
    this->loop.schedule(Clock::now() + probeDelay, [this, address, report] {
        probeConnect(this->loop, address, TerminationVerdicts::probeTime - probeDelay, report);
    });
}

/// Estimated network time of the request and its answer; a new connection adds one round trip.
static Milliseconds transitTimeOf(HttpServerRequest const& request)
{
    constexpr Milliseconds usualRoundTrip { 2 };
    return request.roundTripTime.value_or(usualRoundTrip) * (request.firstOnConnection ? 2 : 1);
}

void GatewayServer::onCallerRequest(HttpServerSession::Pointer const& session, HttpServerRequest&& request)
{
    auto const transitTime = transitTimeOf(request);
    if (!request.roundTripTime)
        this->gateway.sharedContext().metrics.count("callers_without_round_trip_time");
    auto const running
        = this->gateway.handle({ request.head, std::move(request.body), std::move(request.memory), transitTime },
            [this, session](ProxiedAnswer&& answer) {
                this->requestsBySession.erase(session.get());
                session->respond(answer.head, std::move(answer.body), std::move(answer.memory));
            });
    // The request may have been answered within the call.
    if (running && session->isRunning())
        this->requestsBySession[session.get()] = running;
}

void GatewayServer::onCallerDisconnected(HttpServerSession::Pointer const& session)
{
    auto const found = this->requestsBySession.find(session.get());
    if (found == this->requestsBySession.end())
        return;
    auto const request = found->second;
    this->requestsBySession.erase(found);
    request->abandon();
}

bool GatewayServer::isReady() const
{
    return !this->stopStarted && this->registry.isReady() && this->gateway.hasConfiguration();
}

void GatewayServer::answerReadiness(HttpServerSession::Pointer const& session)
{
    bool const ready = this->isReady();
    HTTPResponse head(ready ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    session->respond(head, "");
}

void GatewayServer::answerMetrics(HttpServerSession::Pointer const& session, HttpServerRequest const& request)
{
    bool const found = request.head.getURI() == "/metrics";
    HTTPResponse head(found ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_NOT_FOUND);
    head.setContentType("text/plain");
    auto const& context = this->gateway.sharedContext();
    auto text = found ? context.metrics.text(this->loop.now()) : "Ask for /metrics\n";
    if (found)
        text += context.workspaceMetrics.text();
    if (found && this->gateway.hasConfiguration())
        text += "toucan_gateway_configuration_age_ms "
            + std::to_string(static_cast<int64_t>((Clock::now() - this->registry.confirmedAt()).value)) + "\n";
    if (found)
        text += this->quota.usageText();
    session->respond(head, std::move(text));
}

void GatewayServer::run()
{
    this->gateway.sharedContext().log.line("start",
        { { "node", this->settings.name }, { "failure_domain", this->settings.failureDomain },
            { "callers", this->settings.callerListen }, { "registry", this->settings.registry } },
        DecisionLog::Delivery::Always);
    this->registry.start();
    if (this->isRelay())
        this->countNodes();
    this->loop.run();
    this->gateway.sharedContext().log.line(
        "stopped", { { "running", std::to_string(this->gateway.running()) } }, DecisionLog::Delivery::Always);
}

void GatewayServer::stop()
{
    this->stopRequested = true;
    this->loop.wake();
}

void GatewayServer::reload()
{
    this->reloadRequested = true;
    this->loop.wake();
}

void GatewayServer::onTurn()
{
    if (this->stopRequested && !this->stopStarted)
        this->beginStop();
    if (this->reloadRequested.exchange(false))
        this->reloadSettings();
    if (this->gateway.hasConfiguration())
        this->reportConfirmation();
    this->applyAllowance();
    if (auto const limits = this->gateway.callerLimits(); limits != this->appliedLimits) {
        this->appliedLimits = limits;
        this->callers.setLimits(this->callerLimits());
    }
}

void GatewayServer::reportConfirmation()
{
    auto const age = Clock::now() - this->registry.confirmedAt();
    auto const report = this->confirmation.update(age);
    if (report == ConfirmationMonitor::Report::None)
        return;
    bool const isOutdated = report == ConfirmationMonitor::Report::Outdated;
    this->gateway.sharedContext().log.line(isOutdated ? "configuration-unconfirmed" : "configuration-confirmed",
        { { "version", std::to_string(this->gateway.version()) },
            { "age_ms", std::to_string(static_cast<int64_t>(age.value)) } },
        DecisionLog::Delivery::Always);
}

void GatewayServer::applyAllowance()
{
    auto const nodes = this->registry.knownNodes();
    if (nodes == this->allowanceNodes)
        return;
    this->allowanceNodes = nodes;
    this->gateway.sharedContext().budget.setAllowance(this->allowance.of(nodes));
}

void GatewayServer::beginStop()
{
    this->stopStarted = Clock::now();
    this->gateway.sharedContext().log.line(
        "stop", { { "running", std::to_string(this->gateway.running()) } }, DecisionLog::Delivery::Always);
    this->gateway.beginStop(*this->stopStarted + this->settings.stopTime);
    this->callers.endKeepAlive();
    this->continueStop();
}

void GatewayServer::continueStop()
{
    auto const now = Clock::now();
    auto const elapsed = now - *this->stopStarted;
    if (elapsed >= this->settings.balancerLag && !this->callersClosed) {
        this->callersClosed = true;
        this->callers.beginStop();
    }
    bool const idle = this->callersClosed && this->callers.connections() == 0 && this->gateway.running() == 0;
    if (idle || elapsed >= this->settings.stopTime) {
        this->answerRunning();
        this->loop.schedule(now + finalOutputTime, [this] { this->loop.stop(); });
        return;
    }
    this->loop.schedule(now + stopPollPeriod, [this] { this->continueStop(); });
}

void GatewayServer::answerRunning()
{
    auto const running = this->requestsBySession;
    for (auto const& [session, request] : running)
        request->stop();
}

void GatewayServer::onUnexpectedError(std::exception const& exception)
{
    this->gateway.sharedContext().metrics.count("unexpected_errors");
    this->gateway.sharedContext().log.line("unexpected-error", { { "why", exception.what() } });
}

void GatewayServer::reloadSettings()
{
    try {
        auto const next = this->hooks.readSettings();
        this->settings.stopTime = next.stopTime;
        this->settings.balancerLag = next.balancerLag;
        this->settings.connectionSharers = next.connectionSharers;
        this->registry.setAssumedNodes(next.connectionSharers);
        bool const isComplete = this->settings == next;
        this->gateway.sharedContext().log.line("reload",
            { { "outcome", isComplete ? "applied" : "applied; other changed settings need a restart" } },
            DecisionLog::Delivery::Always);
    } catch (Error const& error) {
        this->gateway.sharedContext().log.line("reload",
            { { "outcome", "kept the old settings" }, { "why", error.what() } }, DecisionLog::Delivery::Always);
    }
}

} // namespace Toucan
