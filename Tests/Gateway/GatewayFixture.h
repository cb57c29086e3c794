#pragma once

#include "Gateway/Gateway.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Toucan {

/// A gateway whose clock, timers and targets the test controls.
struct GatewayFixture {
    struct Sent {
        AttemptMessage message;
        std::function<void(AttemptReply&&)> done;
        bool cancelled { false };
        bool written { false };
    };
    struct Timer {
        Milliseconds at;
        std::function<void()> task;
        bool cancelled { false };
    };

    Milliseconds time { 1000 };
    std::vector<std::shared_ptr<Sent>> sent;
    std::vector<std::shared_ptr<Sent>> withdrawn;
    std::vector<std::shared_ptr<Timer>> timers;
    std::vector<std::string> lines;
    std::vector<ProxiedAnswer> answers;
    std::vector<std::vector<TargetObservation>> sharedObservations;
    /// When false, attempts wait for a connection at the node.
    bool connectionsAreFree { true };
    Gateway gateway;

    explicit GatewayFixture(ExtraAttemptBudget::Limits budget = { 1, 5, 10000_ms }, Mechanisms mechanisms = {})
        : gateway({ .failureDomain = "wien-a",
                      .extraAttempts = budget,
                      .maximumRunningRequests = 100,
                      .maximumRunningBytes = 1000000,
                      .mechanisms = mechanisms },
            this->hooks())
    {
    }

    ~GatewayFixture()
    {
        // Requests, attempts and timers that have not ended hold each other.
        for (auto const& entry : this->sent) {
            entry->message = {};
            entry->done = nullptr;
        }
        for (auto const& timer : this->timers)
            timer->task = nullptr;
    }
    GatewayFixture(GatewayFixture const&) = delete;
    GatewayFixture& operator=(GatewayFixture const&) = delete;

    GatewayHooks hooks()
    {
        GatewayHooks result;
        result.send = [this](AttemptMessage&& message, std::function<void(AttemptReply &&)> done) -> Canceller {
            auto const entry = std::make_shared<Sent>(Sent { std::move(message), std::move(done) });
            this->sent.push_back(entry);
            if (this->connectionsAreFree)
                GatewayFixture::write(*entry);
            return [entry] { entry->cancelled = true; };
        };
        result.schedule = [this](Milliseconds at, std::function<void()> task) -> Canceller {
            auto const timer = std::make_shared<Timer>(Timer { at, std::move(task) });
            this->timers.push_back(timer);
            return [timer] { timer->cancelled = true; };
        };
        result.now = [this] { return this->time; };
        result.connectionShare = [](uint32_t) { return 10U; };
        result.withdrawUnsent = [this](std::string const& address) {
            for (auto const& entry : std::vector<std::shared_ptr<Sent>>(this->sent)) {
                if (entry->message.address == address && !entry->written && !entry->cancelled
                    && !entry->message.maySend())
                    this->withdrawn.push_back(entry);
            }
        };
        result.closeIdle = [](std::string const&) {};
        result.shareObservations = [this](std::vector<TargetObservation>&& observations) {
            this->sharedObservations.push_back(std::move(observations));
        };
        result.random = [] { return 0.0; };
        result.log = [this](std::string const& line) { this->lines.push_back(line); };
        return result;
    }

    static void write(Sent& entry)
    {
        entry.written = true;
        entry.message.assigned();
        entry.message.beforeSending(entry.message.head);
    }

    /// Ends the attempts that were withdrawn, as the pool does at the end of a turn.
    void endWithdrawn()
    {
        for (auto const& entry : std::exchange(this->withdrawn, {})) {
            AttemptReply reply;
            reply.transport = AttemptReply::Transport::Withdrawn;
            entry->done(std::move(reply));
        }
    }

    /// Advances the clock and runs the timers that become due, in order.
    void advance(Milliseconds duration)
    {
        auto const end = this->time + duration;
        while (true) {
            std::shared_ptr<Timer> next;
            for (auto const& timer : this->timers) {
                if (!timer->cancelled && timer->at <= end && (!next || timer->at < next->at))
                    next = timer;
            }
            if (!next)
                break;
            next->cancelled = true;
            this->time = std::max(this->time, next->at);
            next->task();
        }
        this->time = end;
    }

    void addTarget(std::string const& id, std::string const& service, std::string const& domain = "wien-a",
        TargetRegistration::State state = TargetRegistration::State::Serving)
    {
        TargetRegistration registration;
        registration.state = state;
        registration.id = id;
        registration.service = service;
        registration.address = id + ":1";
        registration.failureDomain = domain;
        registration.slots = 2;
        this->gateway.sharedContext().directory.put(registration, this->time);
    }

    static Route forwardedRoute(Repeatability repeatability)
    {
        Route route;
        route.name = "fetch";
        route.host = "front.example";
        route.pathPrefix = "/fetch/";
        route.repeatability = repeatability;
        route.timeout = 1000_ms;
        route.objective = 200_ms;
        route.maximumRuns = 2;
        route.services = { { "store", 1 } };
        return route;
    }

    static Route scatteredRoute(size_t shards, double minimumCoverage)
    {
        auto route = forwardedRoute(Repeatability::Idempotent);
        route.name = "search";
        route.pathPrefix = "/search/";
        route.services.clear();
        for (size_t index = 0; index < shards; ++index)
            route.shards.push_back("shard-" + std::to_string(index));
        route.recordLimit = 2;
        route.minimumCoverage = minimumCoverage;
        return route;
    }

    /// Two targets for each shard, "a0", "b0", "a1" and so on; "a" is in the gateway's failure domain.
    void installScattered(size_t shards, double minimumCoverage)
    {
        this->gateway.install({ 1, { scatteredRoute(shards, minimumCoverage) }, {}, {} });
        for (size_t index = 0; index < shards; ++index) {
            this->addTarget("a" + std::to_string(index), "shard-" + std::to_string(index));
            this->addTarget("b" + std::to_string(index), "shard-" + std::to_string(index), "graz-a");
        }
    }

    /// Two targets, "near" in the gateway's failure domain and "far" in another one.
    void installForwarded(Repeatability repeatability)
    {
        this->gateway.install({ 1, { forwardedRoute(repeatability) }, {}, {} });
        this->addTarget("near", "store");
        this->addTarget("far", "store", "graz-a");
    }

    std::shared_ptr<GatewayRequest> request(
        std::string const& path, std::string const& deadline = "800", std::string const& method = "GET")
    {
        ProxiedRequest request;
        request.head = Poco::Net::HTTPRequest(method, path, "HTTP/1.1");
        request.head.set("Host", "front.example");
        request.head.set("Toucan-Request-Id", "r1");
        if (!deadline.empty())
            request.head.set("Toucan-Deadline-Ms", deadline);
        return this->gateway.handle(
            std::move(request), [this](ProxiedAnswer&& answer) { this->answers.push_back(std::move(answer)); });
    }

    /// Ends attempt `index` with a response of its target.
    void answer(size_t index, AttemptReply&& reply)
    {
        this->sent.at(index)->message.onResponseHead(reply.head);
        this->sent.at(index)->done(std::move(reply));
    }

    /// Answers attempt `index` with a response of its target; `fields` are added to its head.
    void reply(size_t index, int status, std::string const& body, std::string const& signature = "s",
        std::map<std::string, std::string> const& fields = {})
    {
        AttemptReply reply;
        reply.transport = AttemptReply::Transport::Answered;
        reply.head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        reply.head.set("Toucan-Request-Id", "r1");
        if (!signature.empty())
            reply.head.set("Toucan-Signature", signature + std::to_string(index));
        for (auto const& [name, value] : fields)
            reply.head.set(name, value);
        reply.body = body;
        this->answer(index, std::move(reply));
    }

    /// Answers attempt `index` with a refusal that reports that the request was not run; `retryAfter` in seconds.
    void replyNotRun(size_t index, std::string const& retryAfter = "")
    {
        AttemptReply reply;
        reply.transport = AttemptReply::Transport::Answered;
        reply.head.setStatus(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        reply.head.set("Toucan-Not-Run", "1");
        if (!retryAfter.empty())
            reply.head.set("Retry-After", retryAfter);
        this->answer(index, std::move(reply));
    }

    /// Ends attempt `index` with a transport failure.
    void fail(size_t index, AttemptReply::Transport transport)
    {
        AttemptReply reply;
        reply.transport = transport;
        this->sent.at(index)->done(std::move(reply));
    }

    int status(size_t index = 0) const { return static_cast<int>(this->answers.at(index).head.getStatus()); }
    std::string header(std::string const& name, size_t index = 0) const
    {
        return this->answers.at(index).head.get(name, "");
    }
};

} // namespace Toucan
