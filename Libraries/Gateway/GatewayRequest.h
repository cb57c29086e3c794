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

/// One request of a caller, from its arrival to its answer: a single part for a forwarded route, one part for each
/// shard of a scattered one. Keeps itself alive until its last attempt has ended.
class GatewayRequest : public std::enable_shared_from_this<GatewayRequest> {
public:
    using Answered = std::function<void(ProxiedAnswer&&)>;

    /// `route` belongs to `table`. `services` names the service of each part.
    static std::shared_ptr<GatewayRequest> create(GatewayContext& context, std::shared_ptr<RouteTable const> table,
        Route const& route, std::vector<std::string> services, ProxiedRequest&& request, Answered answered);

    void start();
    /// The caller has gone. Work that may be repeated ends at once; a request that must run at most once is left to
    /// the target, because breaking it off would leave its outcome unknown.
    void abandon();
    /// The node ends: answers at once with what there is.
    void stop();

private:
    struct Attempt {
        TargetDirectory::TargetPointer target;
        Milliseconds sentAt;
        Canceller cancel;
        bool running { true };
    };
    struct Part {
        enum class State {
            Waiting,
            Merged,
            Missing,
        };
        std::string service;
        State state { State::Waiting };
        std::vector<Attempt> attempts;
        /// Attempts that ran or may have run.
        uint32_t runs { 0 };
        /// Targets that may have run the request, the running attempts included.
        uint32_t exposures { 0 };
        /// No hedge before this time; empty when the part is not hedged any more.
        std::optional<Milliseconds> hedgeAt;
        std::string signature;
        std::string body;
        /// Answer of the target of a forwarded request: its success, or the failure that is relayed when nothing
        /// better comes.
        std::optional<AttemptReply> reply;
        /// When a target may be available again, for a part without one.
        Milliseconds retryAt;

        size_t runningAttempts() const;
    };
    enum class AttemptReason {
        First,
        Retry,
        Hedge,
    };

    GatewayRequest(GatewayContext& context, std::shared_ptr<RouteTable const> table, Route const& route,
        ProxiedRequest&& request, Answered answered);

    Milliseconds now() const { return this->context.hooks.now(); }
    /// Sends the part to another target; returns whether one was found that the limits allow.
    bool send(size_t partIndex, AttemptReason reason);
    void setTimeLeft(Poco::Net::HTTPRequest& head) const;
    Poco::Net::HTTPRequest createHead(GatewayTarget const& target) const;
    void onReply(size_t partIndex, size_t attemptIndex, AttemptReply&& reply);
    void observe(Attempt const& attempt, AttemptOutcome outcome, AttemptReply const& reply);
    void onSuccess(size_t partIndex, AttemptReply&& reply);
    void onFailure(size_t partIndex, AttemptOutcome outcome, AttemptReply&& reply);
    bool mayRetry(Part const& part, AttemptOutcome outcome) const;
    void failPart(size_t partIndex);

    void onTimer();
    void setTimer();
    std::optional<Milliseconds> nextHedge() const;
    void sendDueHedges();

    /// Answers when the parts that are in, or can never come in, decide the request.
    void answerIfDecided();
    size_t mergedParts() const;
    bool isEnough(size_t parts) const;
    bool ranAnywhere() const;
    void answerMerged();
    /// Answers with what the target of a forwarded request answered.
    void relayReply(std::string_view result);
    void answerFailure();
    void answerTimeout();
    void answerProblem(Poco::Net::HTTPResponse::HTTPStatus status, std::string_view reason);
    void answer(ProxiedAnswer&& answer, std::string_view result);
    /// Nothing is decided any more; attempts may still run.
    void finish();
    void cancelAttempts();

    GatewayContext& context;
    std::shared_ptr<RouteTable const> table;
    Route const& route;
    ProxiedRequest request;
    std::shared_ptr<std::string const> body;
    std::string requestId;
    Answered answered;
    Milliseconds receivedAt;
    /// Last moment for an answer.
    Milliseconds deadline;
    /// From here on an answer that misses shards is worth more than a later whole one.
    Milliseconds partialAnswerAt;
    std::vector<Part> parts;
    Canceller cancelTimer;
    std::optional<Milliseconds> timerAt;
    bool finished { false };
    bool started { false };
    uint32_t extraAttempts { 0 };
    size_t estimatedMemory { 0 };
};

} // namespace Toucan
