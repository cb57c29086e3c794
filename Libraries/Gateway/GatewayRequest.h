#pragma once

#include "Gateway/AttemptOutcome.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/RequestPart.h"
#include "Gateway/RouteTable.h"
#include "Quarantine/TerminationLedger.h"
#include "Quota/QuotaClient.h"

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

    /// Called before start().
    void setAdmission(QuarantineList::Decision const& decision);
    void start();
    /// Starts the request when it has a token of its workspace's limit, at once or after a short wait, or refuses it.
    void startWithin(QuotaClient& quota);
    /// Called when the caller has disconnected. Attempts of an idempotent request are cancelled, and those that have
    /// not been sent. A non-idempotent one that was sent runs to its end at the target, because cancelling it would
    /// leave its outcome unknown.
    void abandon();
    /// Called when the node stops: answers at once, with the parts that have arrived if they suffice, else with an
    /// error.
    void stop();

private:
    using Attempt = RequestAttempt;
    using Part = RequestPart;
    /// An attempt whose connection broke.
    struct BrokenAttempt {
        size_t part { 0 };
        size_t attempt { 0 };
    };

    GatewayRequest(GatewayContext& context, std::shared_ptr<RouteTable const> table, Route const& route,
        ProxiedRequest&& request, Answered sendAnswer);

    /// Whether the workspace's share of congested services leaves room for the request; answers it otherwise.
    bool admitWorkspace();
    /// Decides which parts are omitted because the targets of their shards are overloaded. Returns false, and answers
    /// the request, when too few shards have a usable target.
    bool admitParts();
    /// Sends omitted parts while the answer would fail without them.
    void sendRequiredOmittedParts();
    /// Sends the parts that wait and have no attempt yet.
    void sendUnsentParts();
    void logNoTarget(Part const& part, size_t registered, size_t usable) const;
    Milliseconds now() const { return this->context.hooks.now(); }
    /// Sends the part to another target. Returns false when no target is available or the budget of extra attempts is
    /// spent.
    bool send(size_t partIndex, AttemptReason reason);
    void setRemainingTime(Poco::Net::HTTPRequest& head) const;
    Poco::Net::HTTPRequest createHead(GatewayTarget const& target) const;
    void onReply(size_t partIndex, size_t attemptIndex, AttemptReply&& reply);
    void onSuccess(size_t partIndex, AttemptReply&& reply);
    void onFailure(size_t partIndex, size_t attemptIndex, AttemptOutcome outcome, AttemptReply&& reply);
    bool mayRetry(Part const& part, AttemptOutcome outcome) const;
    void failPart(size_t partIndex);

    /// Sends one part that has no attempt yet before the others; the next one when it can't be sent.
    void sendCanary();
    /// Goes on when the canary part has succeeded or failed.
    void continueAfterCanary();
    uint64_t ownFingerprint();
    /// Waits for the verdict whether the target ended, before the part goes on.
    void awaitVerdict(size_t partIndex, size_t attemptIndex);
    void onVerdict(BrokenAttempt broken);
    /// `othersBroke` as in TerminationLedger.
    void onTerminated(size_t partIndex, GatewayTarget const& target, bool othersBroke);
    /// Ends what runs, so that no further target ends, and sends nothing more.
    void endAllParts();
    /// Whether a failure is answered later, so that the other nodes learn before the caller asks them.
    bool isSharingTerminations();
    void clearFingerprint();

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

    void onQuota(QuotaResult&& result);
    /// Whether an attempt may be sent: the token of the request is valid, or the request may have begun to run.
    bool mayBegin() const;
    /// Returns the token of a request that has ended and ran nowhere.
    void returnUnusedPermit();

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
    TerminationLedger ledger;
    /// Set while one part is sent before the others.
    std::optional<size_t> canaryPart;
    bool isCanary { false };
    /// Broken attempts whose verdicts are awaited, and those whose verdicts have arrived since.
    size_t pendingVerdicts { 0 };
    std::vector<BrokenAttempt> brokenAttempts;
    std::optional<uint64_t> fingerprint;
    /// Time from which on a failure may be answered.
    std::optional<Milliseconds> failureAt;
    size_t estimatedMemory { 0 };
    /// Token of the workspace's limit; null without a limit.
    std::shared_ptr<QuotaPermit> permit;
    /// Set while the request waits for its token.
    std::function<void()> cancelQuotaWait;
};

} // namespace Toucan
