#include "Gateway/GatewayRequest.h"

#include <Poco/NumberFormatter.h>
#include <algorithm>
#include <utility>

namespace Toucan {

using Poco::Net::HTTPResponse;

/// Longest wait for a token.
constexpr Milliseconds longestQuotaWait { 100 };
/// Largest share of the route's objective, and of the time that is left, that the wait may take.
constexpr double quotaWaitShare = 0.25;
/// A caller reaches another node with its next connection, so it need not wait.
constexpr Milliseconds unreachableRetryAfter { 10 };
/// A shorter wait is not worth another request.
constexpr Milliseconds shortestRetryAfter { 50 };
/// The waits differ by up to this share, so that callers that were refused together do not return together.
constexpr double retrySpread = 0.3;

void GatewayRequest::startWithin(QuotaClient& quota)
{
    auto const self = this->shared_from_this();
    auto const limit = workspaceLimitName(this->request.workspace->name);
    auto const patience = std::min(
        { this->route.objective * quotaWaitShare, (this->deadline - this->now()) * quotaWaitShare, longestQuotaWait });
    auto acquired = quota.acquire(limit, patience, [self](QuotaResult&& result) {
        self->cancelQuotaWait = nullptr;
        self->onQuota(std::move(result));
    });
    if (acquired.result)
        this->onQuota(std::move(*acquired.result));
    else
        this->cancelQuotaWait = [&quota, limit, waiter = acquired.waiter] { quota.cancel(limit, waiter); };
}

void GatewayRequest::onQuota(QuotaResult&& result)
{
    if (result.kind == QuotaResult::Kind::Granted) {
        this->permit = std::move(result.permit);
        this->start();
        return;
    }
    bool const exhausted = result.kind == QuotaResult::Kind::Exhausted;
    auto const status = exhausted ? HTTPResponse::HTTP_TOO_MANY_REQUESTS : HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    auto const reason
        = exhausted ? "over the limit of the workspace; not run" : "no relay grants requests of the workspace; not run";
    auto const wait = exhausted ? std::max(result.retryAfter, shortestRetryAfter) : unreachableRetryAfter;
    this->context.metrics.count(exhausted ? "quota_refusals_exhausted" : "quota_refusals_unreachable");
    this->context.log.line("refused",
        { { "request", this->requestId }, { "status", std::to_string(static_cast<int>(status)) },
            { "configuration", std::to_string(this->table->version()) }, { "why", reason },
            { "workspace", this->request.workspace->name },
            { "limit", Poco::NumberFormatter::format(this->request.workspace->ratePerSecond, 3) },
            { "asked", std::to_string(result.asked) },
            { "answer_age_ms",
                result.answerAge ? Poco::NumberFormatter::format(result.answerAge->value, 1) : "none" } });
    this->finish();
    ProxiedAnswer answer;
    answer.head.setStatusAndReason(status);
    answer.head.set(this->context.headers.requestId, this->requestId);
    answer.head.setContentType("text/plain");
    answer.head.set(this->context.headers.retryAfter,
        Poco::NumberFormatter::format((wait * (1 + retrySpread * this->context.hooks.random())).value / 1000, 3));
    answer.body = std::string(reason) + "\n";
    this->context.metrics.count("answers_" + std::to_string(static_cast<int>(status)));
    if (auto const callback = std::exchange(this->sendAnswer, nullptr))
        callback(std::move(answer));
}

bool GatewayRequest::mayBegin() const
{
    if (!this->permit || this->permit->isValid())
        return true;
    // A request that may have begun in time is sent again within the same token.
    return std::any_of(this->parts.begin(), this->parts.end(), [](Part const& part) {
        return part.runs > 0 || std::any_of(part.attempts.begin(), part.attempts.end(), [](Attempt const& attempt) {
            return attempt.running && attempt.sent;
        });
    });
}

void GatewayRequest::returnUnusedPermit()
{
    if (!this->permit || this->mayHaveRunAnywhere())
        return;
    std::exchange(this->permit, nullptr)->giveBack();
}

} // namespace Toucan
