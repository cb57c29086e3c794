#include "Gateway/Gateway.h"

#include "Gateway/CallerIdentity.h"
#include "Quarantine/RequestFingerprint.h"
#include <Poco/NumberFormatter.h>
#include <algorithm>
#include <map>

namespace Toucan {

using Poco::Net::HTTPResponse;

/// Assumed timeout of a caller that states none.
constexpr Milliseconds assumedCallerTimeout { 1000 };
/// A node at its limit usually answers many of its running requests within this time.
constexpr Milliseconds overloadRetryAfter { 100 };

/// A caller reaches another node with its next connection, so it need not wait.
constexpr Milliseconds stoppingRetryAfter { 10 };

static GatewayContext createContext(Gateway::Options const& options, GatewayHooks hooks)
{
    DecisionLog log(hooks.log, hooks.now);
    TargetSelector selector(hooks.random);
    PartAdmission admission(hooks.random);
    FairAdmission fairAdmission({ hooks.workspaceRate, hooks.random });
    RetryAdvice retryAdvice(hooks.random);
    ExtraAttemptBudget budget(options.extraAttempts, hooks.random);
    ObservationOutbox outbox({ hooks.now, hooks.schedule, hooks.shareObservations });
    TerminationVerdicts verdicts({ hooks.now, hooks.schedule, hooks.probe });
    GatewayContext context { std::move(hooks), options.headers, std::move(log), {},
        TargetDirectory(options.failureDomain, {}), std::move(selector), std::move(admission), std::move(retryAdvice),
        std::move(budget), {}, std::move(outbox), std::move(verdicts), QuarantineList({}), {}, options.answerBodyLimit,
        options.mechanisms, std::move(fairAdmission) };
    return context;
}

Gateway::Gateway(Options options, GatewayHooks hooks)
    : options(std::move(options))
    , context(createContext(this->options, std::move(hooks)))
    , startedAt(this->context.hooks.now())
{
    TargetDirectory::Hooks directoryHooks;
    directoryHooks.changed = [this](std::string_view event, TargetRegistration const& target) {
        this->context.log.line(event,
            { { "target", target.id }, { "service", target.service }, { "address", target.address },
                { "state", target.state == TargetRegistration::State::Draining ? "draining" : "serving" },
                { "incarnation", std::to_string(target.incarnation) } });
        if (this->context.verdicts.isWaiting())
            this->onTargetChanged(event, target);
    };
    directoryHooks.withdrawn = this->context.hooks.withdrawUnsent;
    directoryHooks.random = this->context.hooks.random;
    directoryHooks.evacuationChanged = [this](std::string const& domain, bool evacuated, size_t targets) {
        this->context.metrics.count(evacuated ? "evacuations" : "evacuations_ended");
        this->context.log.line(evacuated ? "failure-domain-evacuated" : "failure-domain-evacuation-ended",
            { { "failure_domain", domain }, { "targets", std::to_string(targets) } }, DecisionLog::Delivery::Always);
    };
    this->context.directory = TargetDirectory(this->options.failureDomain, std::move(directoryHooks));
    QuarantineList::Hooks quarantineHooks;
    quarantineHooks.quarantined = [this](uint64_t fingerprint, size_t terminated) {
        this->context.metrics.count("quarantined_fingerprints");
        this->context.log.line("quarantined",
            { { "fingerprint", fingerprintText(fingerprint) }, { "terminated", std::to_string(terminated) } },
            DecisionLog::Delivery::Always);
    };
    this->context.quarantine = QuarantineList(std::move(quarantineHooks));
}

void Gateway::onTargetChanged(std::string_view event, TargetRegistration const& target)
{
    bool const isDraining = target.state == TargetRegistration::State::Draining;
    if (event == "target-leaving" || (event == "target-changed" && isDraining))
        this->context.verdicts.onPlannedStop(target.id);
    else if (event == "target-removed")
        this->context.verdicts.onLapsed(target.id);
    else if (event == "target-added")
        this->context.verdicts.onRegistered(target.id, target.incarnation);
}

void Gateway::install(RoutingConfiguration configuration)
{
    auto const version = configuration.version;
    if (this->table && version <= this->table->version()) {
        if (version < this->table->version())
            this->context.log.line("configuration-refused",
                { { "version", std::to_string(version) }, { "in_force", std::to_string(this->table->version()) },
                    { "why", "older than the one in force" } });
        return;
    }
    auto const before = this->version();
    this->table = std::make_shared<RouteTable const>(std::move(configuration));
    this->splitter.reset();
    std::map<std::string, double> coldRates;
    for (auto const& service : this->table->configuration().services)
        coldRates[service.name] = service.coldRate;
    this->context.directory.setColdRates(std::move(coldRates), this->context.hooks.now());
    this->context.metrics.count("configurations");
    this->context.log.line("configuration-in-force",
        { { "version", std::to_string(version) }, { "before", std::to_string(before) },
            { "routes", std::to_string(this->table->configuration().routes.size()) } },
        DecisionLog::Delivery::Always);
    if (this->context.hooks.installed)
        this->context.hooks.installed(this->table->configuration());
}

CallerLimits Gateway::callerLimits() const
{
    return this->table ? this->table->configuration().limits : CallerLimits {};
}

static std::string_view pathOf(std::string const& uri) { return std::string_view(uri).substr(0, uri.find('?')); }

std::shared_ptr<GatewayRequest> Gateway::handle(ProxiedRequest&& request, GatewayRequest::Answered answered)
{
    this->context.metrics.count("requests");
    if (!this->table) {
        auto const left = callerTimeout(request, this->context.headers, assumedCallerTimeout);
        auto const wait = this->context.retryAdvice.wait({ {}, this->context.hooks.now() - this->startedAt, left });
        this->refuse(request, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no configuration yet; not run", wait, answered);
        return nullptr;
    }
    auto const* const route = this->table->find(request.head.get("Host", ""), pathOf(request.head.getURI()));
    if (!route) {
        this->refuse(request, HTTPResponse::HTTP_NOT_FOUND, "no route for this host and path", {}, answered);
        return nullptr;
    }
    if (auto const refusal = identifyCaller(request, this->table, *route, this->context.headers)) {
        this->context.metrics.count(refusal->counter);
        this->refuse(request, refusal->status, refusal->reason, {}, answered);
        return nullptr;
    }
    if (request.workspace)
        this->context.workspaceMetrics.count(request.workspace->name, WorkspaceMetrics::Event::Request);
    if (!this->endsBeforeStop(request, *route)) {
        this->refuse(
            request, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the node stops; not run", stoppingRetryAfter, answered);
        return nullptr;
    }
    auto const admission = this->admissionOf(request, *route);
    if (admission.admission == QuarantineList::Admission::Refused) {
        this->refuse(request, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "targets ended under this request; not run",
            admission.left, answered);
        return nullptr;
    }
    if (this->context.running >= this->options.maximumRunningRequests) {
        this->refuse(request, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "too many requests run; not run",
            overloadRetryAfter, answered);
        return nullptr;
    }
    auto const parts = std::max<size_t>(route->shards.size(), 1);
    if (this->context.runningBytes + estimateMemory(request, parts) > this->options.maximumRunningBytes) {
        this->refuse(request, HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
            "the requests that run take too much memory; not run", overloadRetryAfter, answered);
        return nullptr;
    }
    bool const limited = this->context.hooks.quota && request.workspace && request.workspace->hasLimit();
    auto services = route->shards;
    if (!route->isScattered())
        services.push_back(this->splitter.next(*route).service);
    auto started = GatewayRequest::create(
        this->context, this->table, *route, std::move(services), std::move(request), std::move(answered));
    started->setAdmission(admission);
    if (limited)
        started->startWithin(*this->context.hooks.quota);
    else
        started->start();
    return started;
}

QuarantineList::Decision Gateway::admissionOf(ProxiedRequest const& request, Route const& route)
{
    auto const now = this->context.hooks.now();
    if (!this->context.quarantine.isActive(now))
        return {};
    auto const fingerprint = fingerprintOf(
        { request.head.getMethod(), request.head.get("Host", ""), request.head.getURI(), request.body });
    auto decision = this->context.quarantine.decide(fingerprint, routeHash(route.name), now);
    if (decision.admission == QuarantineList::Admission::Refused) {
        this->context.metrics.count("quarantine_refusals");
        this->context.log.line("quarantine-refused",
            { { "request", request.head.get(this->context.headers.requestId, "") }, { "route", route.name },
                { "fingerprint", fingerprintText(fingerprint) },
                { "terminated", std::to_string(decision.terminated) } });
    }
    return decision;
}

void Gateway::beginStop(Milliseconds end) { this->stopEnd = end; }

bool Gateway::endsBeforeStop(ProxiedRequest const& request, Route const& route) const
{
    if (!this->stopEnd)
        return true;
    auto const now = this->context.hooks.now();
    auto const longest = callerTimeout(request, this->context.headers, route.timeout);
    return now + std::min(this->context.latencies.usualMaximum(route, now), longest) <= *this->stopEnd;
}

void Gateway::refuse(ProxiedRequest const& request, HTTPResponse::HTTPStatus status, std::string_view reason,
    Milliseconds retryAfter, GatewayRequest::Answered const& answered)
{
    ProxiedAnswer answer;
    // Copied: get() returns a reference to its second argument when the field is missing.
    auto const requestId = request.head.get(this->context.headers.requestId, "");
    answer.head.setStatusAndReason(status);
    answer.head.set(this->context.headers.requestId, requestId);
    answer.head.setContentType("text/plain");
    if (status == HTTPResponse::HTTP_UNAUTHORIZED)
        answer.head.set("WWW-Authenticate", this->context.headers.credentialsScheme);
    if (retryAfter > Milliseconds {})
        answer.head.set(this->context.headers.retryAfter, Poco::NumberFormatter::format(retryAfter.value / 1000, 3));
    answer.body = std::string(reason) + "\n";
    this->context.metrics.count("answers_" + std::to_string(static_cast<int>(status)));
    this->context.log.line("refused",
        { { "request", requestId }, { "status", std::to_string(static_cast<int>(status)) },
            { "configuration", std::to_string(this->version()) }, { "running", std::to_string(this->context.running) },
            { "why", std::string(reason) } });
    answered(std::move(answer));
}

} // namespace Toucan
