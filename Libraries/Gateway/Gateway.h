#pragma once

#include "Gateway/GatewayContext.h"
#include "Gateway/GatewayRequest.h"
#include "Gateway/RouteTable.h"

#include <memory>
#include <string>

namespace Toucan {

/// Decides what happens to callers' requests: finds the route, starts the request, and answers at once what cannot be
/// served. Holds the configuration in force.
class Gateway {
public:
    struct Options {
        std::string failureDomain;
        GatewayHeaders headers {};
        ExtraAttemptBudget::Limits extraAttempts {};
        /// Requests that may run at once; more are refused, because they would only wait for the processor.
        size_t runningLimit { 300 };
        /// Estimated memory of the requests that run at once; more are refused. Each attempt has its own copy of the
        /// request's head, so that long heads on a route of many shards add up.
        size_t runningBytes { 20971520 };
        /// Largest answer of a target that is forwarded.
        size_t answerBytes { 4194304 };
    };

    Gateway(Options options, GatewayHooks hooks);

    /// Puts a configuration into force unless it is older than the present one. Requests that run keep the one they
    /// started with.
    void install(RoutingConfiguration configuration);
    bool hasConfiguration() const { return this->table != nullptr; }
    /// 0 before the first configuration.
    uint64_t version() const { return this->table ? this->table->version() : 0; }
    /// Limits for callers; the defaults before the first configuration.
    CallerLimits callerLimits() const;

    /// Returns the running request, or null when it was answered at once.
    std::shared_ptr<GatewayRequest> handle(ProxiedRequest&& request, GatewayRequest::Answered answered);

    std::string const& failureDomain() const { return this->options.failureDomain; }
    GatewayContext& shared() { return this->context; }
    size_t running() const { return this->context.running; }

private:
    void refuse(ProxiedRequest const& request, Poco::Net::HTTPResponse::HTTPStatus status, std::string_view reason,
        Milliseconds retryAfter, GatewayRequest::Answered const& answered);

    Options options;
    GatewayContext context;
    std::shared_ptr<RouteTable const> table;
    TrafficSplitter splitter;
};

} // namespace Toucan
