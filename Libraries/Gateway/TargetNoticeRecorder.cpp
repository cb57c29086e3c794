#include "Gateway/TargetNoticeRecorder.h"

#include "Gateway/AttemptOutcome.h"
#include "Gateway/TargetNotice.h"
#include <Poco/NumberFormatter.h>
#include <algorithm>

namespace Toucan {

using Poco::Net::HTTPResponse;

/// The nodes return to a target that wanted to wait within this share of the wait, and at most this time, after its
/// end, so that they don't return at once.
constexpr double returnSpreadShare = 0.25;
constexpr Milliseconds maximumReturnSpread { 500 };
/// Least change of a rate limit that the other nodes are told; they see smaller ones in their own answers.
constexpr double minimumSharedLimitChange = 1.1;
/// Longest part of an unusable value that is logged, in bytes.
constexpr size_t maximumLoggedValue = 100;

static void logUnusable(
    GatewayContext& context, NoticeSource const& source, std::string_view event, std::string const& value)
{
    if (value.empty())
        return;
    context.log.line(event,
        { { "request", source.requestId }, { "target", source.target->registration().id },
            { "value", value.substr(0, maximumLoggedValue) } });
}

static void recordLeaving(GatewayContext& context, NoticeSource const& source)
{
    if (!context.directory.onLeaving(source.target))
        return;
    context.metrics.count("targets_leaving");
    if (context.mechanisms.isEnabled(Mechanism::SharedObservations))
        context.outbox.add({ .target = source.target->registration().id, .leaving = true });
}

static void recordWait(GatewayContext& context, NoticeSource const& source, Milliseconds wait)
{
    auto const end = context.hooks.now() + wait;
    auto const spread = std::min(wait * returnSpreadShare, maximumReturnSpread);
    context.directory.onWait(source.target, end, end + spread * context.hooks.random());
    context.metrics.count("target_waits");
    auto const& registration = source.target->registration();
    context.log.line("target-waits",
        { { "request", source.requestId }, { "target", registration.id }, { "service", registration.service },
            { "wait_ms", Poco::NumberFormatter::format(wait.value, 0) } });
}

/// Whether the response shows that the target states no rate limit any more: it is the target's own answer to a request
/// that was sent after the limit was known. An answer on its way since before, or a late copy of one, shows nothing.
static bool showsNoRateLimit(GatewayContext const& context, NoticeSource const& source, HTTPResponse const& head)
{
    auto const* const limit = source.target->rateLimit();
    return limit && source.chosenAt >= limit->statedAt() && head.has(context.headers.signature)
        && head.getStatus() != HTTPResponse::HTTP_MISDIRECTED_REQUEST
        && answersRequest(head, source.requestId, false, context.headers);
}

static void shareRateLimit(GatewayContext& context, NoticeSource const& source, double requestsPerSecond)
{
    if (context.mechanisms.isEnabled(Mechanism::SharedObservations))
        context.outbox.add({ .target = source.target->registration().id, .rateLimit = requestsPerSecond });
}

static void recordRateLimitEnd(GatewayContext& context, NoticeSource const& source)
{
    auto const& registration = source.target->registration();
    auto const& sent = source.target->rateLimit()->sent();
    context.log.line("target-limit-ended",
        { { "request", source.requestId }, { "target", registration.id }, { "service", registration.service },
            { "sent", std::to_string(sent.all) }, { "hedges", std::to_string(sent.hedges) },
            { "retries", std::to_string(sent.retries) }, { "chosen_before", std::to_string(sent.chosenBefore) } });
    context.directory.onRateLimitEnded(source.target, context.hooks.now());
    shareRateLimit(context, source, noRateLimit);
}

static void recordRateLimit(GatewayContext& context, NoticeSource const& source, double requestsPerSecond)
{
    auto const* const known = source.target->rateLimit();
    bool const isFirst = !known;
    auto const before = known ? known->requestsPerSecond() : noRateLimit;
    context.directory.onRateLimit(source.target, { requestsPerSecond, context.hooks.random(), context.hooks.now() });
    if (before == requestsPerSecond)
        return;
    context.metrics.count("target_limits");
    auto const& registration = source.target->registration();
    context.log.line("target-limit",
        { { "request", source.requestId }, { "target", registration.id }, { "service", registration.service },
            { "per_second", Poco::NumberFormatter::format(requestsPerSecond, 2) },
            { "before", isFirst ? "none" : Poco::NumberFormatter::format(before, 2) },
            { "nodes", std::to_string(context.directory.sharingNodes()) } });
    auto const [lower, higher] = std::minmax(before, requestsPerSecond);
    if (higher >= lower * minimumSharedLimitChange)
        shareRateLimit(context, source, requestsPerSecond);
}

void recordNotice(GatewayContext& context, NoticeSource const& source, HTTPResponse const& head)
{
    auto const notice = readNotice(head, context.headers);
    if (notice.leaving)
        recordLeaving(context, source);
    if (notice.rateLimit)
        recordRateLimit(context, source, *notice.rateLimit);
    else if (notice.unusableRateLimit.empty() && showsNoRateLimit(context, source, head))
        recordRateLimitEnd(context, source);
    logUnusable(context, source, "retry-after-out-of-range", notice.unusableWait);
    logUnusable(context, source, "target-limit-unusable", notice.unusableRateLimit);
    if (notice.wait)
        recordWait(context, source, *notice.wait);
}

} // namespace Toucan
