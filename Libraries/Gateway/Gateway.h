#pragma once

#include "Gateway/GatewayContext.h"
#include "Gateway/GatewayRequest.h"
#include "Gateway/RouteTable.h"

#include <memory>
#include <optional>
#include <string>

namespace Toucan {

/// Entry point for callers' requests: finds the route and starts the request, or refuses at once a request that cannot
/// be served. Holds the configuration in force.
class Gateway {
public:
    struct Options {
        std::string failureDomain;
        GatewayHeaders headers {};
        ExtraAttemptBudget::Limits extraAttempts {};
        /// Requests that may run concurrently; further ones are refused, because they would only wait for CPU time.
        size_t maximumRunningRequests { 300 };
        /// Limit of the estimated memory of the requests that run concurrently, in bytes; requests beyond it are
        /// refused. Each attempt has its own copy of the request's head, so long heads on a route with many shards add
        /// up.
        size_t maximumRunningBytes { 20971520 };
        /// Largest answer of a target that is forwarded, in bytes.
        size_t answerBodyLimit { 4194304 };
        Mechanisms mechanisms {};
    };

    Gateway(Options options, GatewayHooks hooks);

    /// Activates a configuration unless it is older than the one in force. Running requests keep the configuration with
    /// which they started.
    void install(RoutingConfiguration configuration);
    bool hasConfiguration() const { return this->table != nullptr; }
    /// 0 until the first configuration is installed.
    uint64_t version() const { return this->table ? this->table->version() : 0; }
    /// Limits for callers; the defaults until the first configuration is installed.
    CallerLimits callerLimits() const;

    /// Returns null when the request was refused before it started. A returned request may already have been answered.
    std::shared_ptr<GatewayRequest> handle(ProxiedRequest&& request, GatewayRequest::Answered answered);

    /// The node stops at `end`. Requests that are not expected to end before are refused from now on: another node can
    /// serve them, while here they would be answered with an unknown outcome.
    void beginStop(Milliseconds end);

    /// A connection to a target ended that this node did not close.
    void onConnectionLost(std::string const& address) { this->context.verdicts.onConnectionLost(address); }

    std::string const& failureDomain() const { return this->options.failureDomain; }
    GatewayContext& sharedContext() { return this->context; }
    size_t running() const { return this->context.running; }

private:
    /// Whether a request of the route can be expected to end before the node stops.
    bool endsBeforeStop(ProxiedRequest const& request, Route const& route) const;
    void onTargetChanged(std::string_view event, TargetRegistration const& target);
    /// What targets that ended under the same request, or under others of the route, allow.
    QuarantineList::Decision admissionOf(ProxiedRequest const& request, Route const& route);
    void refuse(ProxiedRequest const& request, Poco::Net::HTTPResponse::HTTPStatus status, std::string_view reason,
        Milliseconds retryAfter, GatewayRequest::Answered const& answered);

    Options options;
    GatewayContext context;
    Milliseconds startedAt;
    /// Set when the node stops.
    std::optional<Milliseconds> stopEnd;
    std::shared_ptr<RouteTable const> table;
    TrafficSplitter splitter;
};

} // namespace Toucan
