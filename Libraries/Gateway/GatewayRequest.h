#pragma once

#include "Gateway/AttemptOutcome.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/RouteTable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// Timeout that the caller stated with the request, at most `defaultValue`.
Milliseconds callerTimeout(ProxiedRequest const& request, GatewayHeaders const& names, Milliseconds defaultValue);

/// One request of a caller, from its arrival to its answer: a single part for a forwarded route, one part for each
/// shard of a scattered one. Keeps itself alive until its last attempt has ended.
class GatewayRequest : public std::enable_shared_from_this<GatewayRequest> {
public:
    using Answered = std::function<void(ProxiedAnswer&&)>;

    /// `route` belongs to `table`. `services` names the service of each part.
    static std::shared_ptr<GatewayRequest> create(GatewayContext& context, std::shared_ptr<RouteTable const> table,
        Route const& route, std::vector<std::string> services, ProxiedRequest&& request, Answered sendAnswer);

    void start();
    /// Called when the caller has disconnected. Attempts of an idempotent request are cancelled, and those that have
    /// not been sent. A non-idempotent one that was sent runs to its end at the target, because cancelling it would
    /// leave its outcome unknown.
    void abandon();
    /// Called when the node stops: answers at once, with the parts that have arrived if they suffice, else with an
    /// error.
    void stop();

private:
    struct Attempt {
        TargetDirectory::TargetPointer target;
        Milliseconds sentAt;
        Canceller cancel;
        bool running { true };
        /// Whether a connection, which may still have to be established, is assigned to the attempt.
        bool onConnection { false };
        /// Whether the request was written to a connection.
        bool sent { false };
        /// Whether it has a permit under the target's rate limit.
        bool hasPermit { false };
    };
    struct Part {
        enum class State {
            /// An attempt may still succeed.
            Waiting,
            /// A target's success has arrived.
            Succeeded,
            /// The part has failed and will be missing from the answer.
            Missing,
            /// The part has not been sent; it is missing from the answer unless other parts fail.
            Omitted,
        };
        std::string service;
        State state { State::Waiting };
        std::vector<Attempt> attempts;
        /// Ended attempts that ran or may have run.
        uint32_t runs { 0 };
        /// Attempts that sent, or may still send, bytes to a target, whether or not it ran the request.
        uint32_t sentAttempts { 0 };
        /// Time at which the part is hedged; empty while no hedge is planned.
        std::optional<Milliseconds> hedgeAt;
        /// Signature and greatest records of the successful answer to a part of a scattered request.
        std::string signature;
        std::string body;
        /// Answer of the target of a forwarded request: its success, or the failure that is forwarded when no other
        /// attempt succeeds.
        std::optional<AttemptReply> reply;
        /// When a target may be available again, for a part that found none; empty when that is not known.
        std::optional<Milliseconds> retryAt;

        size_t runningAttempts() const;
    };
    enum class AttemptReason {
        First,
        Retry,
        Hedge,
    };

    GatewayRequest(GatewayContext& context, std::shared_ptr<RouteTable const> table, Route const& route,
        ProxiedRequest&& request, Answered sendAnswer);

    /// Decides which parts are omitted because the targets of their shards are overloaded. Returns false, and answers
    /// the request, when too few shards have a usable target.
    bool admitParts();
    /// Sends omitted parts while the answer would fail without them.
    void sendRequiredOmittedParts();
    void logNoTarget(Part const& part, size_t registered, size_t usable) const;
    Milliseconds now() const { return this->context.hooks.now(); }
    /// Sends the part to another target. Returns false when no target is available or the budget of extra attempts is
    /// spent.
    bool send(size_t partIndex, AttemptReason reason);
    void setRemainingTime(Poco::Net::HTTPRequest& head) const;
    Poco::Net::HTTPRequest createHead(GatewayTarget const& target) const;
    void onReply(size_t partIndex, size_t attemptIndex, AttemptReply&& reply);
    /// Counts a request that is sent to a target with a rate limit, and what it was sent for.
    void countLimited(Attempt const& attempt, AttemptReason reason);
    void recordOutcome(Attempt& attempt, AttemptOutcome outcome, AttemptReply const& reply);
    void onSuccess(size_t partIndex, AttemptReply&& reply);
    void onFailure(size_t partIndex, AttemptOutcome outcome, AttemptReply&& reply);
    bool mayRetry(Part const& part, AttemptOutcome outcome) const;
    void failPart(size_t partIndex);

    void onTimer();
    void setTimer();
    std::optional<Milliseconds> nextHedge() const;
    void sendDueHedges();

    /// Answers as soon as the parts that have arrived or failed determine the result.
    void answerIfDecided();
    size_t succeededParts() const { return this->countParts(Part::State::Succeeded); }
    size_t countParts(Part::State state) const;
    size_t requiredParts() const;
    /// Whether this number of succeeded parts reaches the minimum coverage.
    bool isSufficient(size_t count) const;
    /// Whether a target ran or may have run any part.
    bool mayHaveRunAnywhere() const;
    void answerSuccess();
    /// Forwards the answer of the target of a forwarded request.
    void forwardReply(std::string_view result);
    void answerFailure();
    void answerTimeout();
    /// Time until the missing parts can be expected to find targets; empty when that is not known.
    std::optional<Milliseconds> availableIn() const;
    void answerProblem(Poco::Net::HTTPResponse::HTTPStatus status, std::string_view reason);
    void answer(ProxiedAnswer&& answer, std::string_view result);
    /// Ends the request; its attempts may still run.
    void finish();
    void cancelAttempts();
    /// Cancels the attempts that wait for a connection, so that they don't take it from requests that can still be
    /// answered. A connection that is being established is kept for later requests: closing it would cost the target
    /// another one.
    void cancelWaitingAttempts();
    /// Cancels all attempts of which nothing was sent.
    void cancelUnsentAttempts();
    void cancelAttempt(Attempt& attempt, GatewayTarget::Result result);
    /// Records the end of an attempt at its target.
    void endAttempt(Attempt& attempt, GatewayTarget::Result result, std::optional<Milliseconds> typical);

    GatewayContext& context;
    std::shared_ptr<RouteTable const> table;
    Route const& route;
    ProxiedRequest request;
    std::shared_ptr<std::string const> body;
    std::string requestId;
    Answered sendAnswer;
    Milliseconds receivedAt;
    /// Latest time for an answer.
    Milliseconds deadline;
    /// From this time on a partial answer with enough coverage is preferred to a later complete one.
    Milliseconds partialAnswerAt;
    std::vector<Part> parts;
    Canceller cancelTimer;
    std::optional<Milliseconds> timerAt;
    bool finished { false };
    /// Set when the first attempts of all parts have been sent; the request is not answered before.
    bool started { false };
    uint32_t extraAttempts { 0 };
    size_t estimatedMemory { 0 };
};

} // namespace Toucan
