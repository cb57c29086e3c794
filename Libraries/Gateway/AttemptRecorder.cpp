#include "Gateway/AttemptRecorder.h"

#include <Poco/NumberFormatter.h>
#include <Poco/String.h>
#include <algorithm>

namespace Toucan {

void endAttempt(
    RequestAttempt& attempt, GatewayTarget::Result result, std::optional<Milliseconds> typical, Milliseconds now)
{
    attempt.target->onEnded(result, attempt.sentAt, typical, now);
    if (attempt.hasPermit && !attempt.sent)
        attempt.target->returnPermit();
}

void countSent(GatewayContext& context, RequestAttempt const& attempt, AttemptReason reason)
{
    if (attempt.target->isLimitedAsCold(context.hooks.now()))
        context.metrics.count("cold_attempts");
    auto* const limit = attempt.target->rateLimit();
    if (!limit)
        return;
    TargetRateLimit::Sent const sent {
        .all = 1,
        .hedges = reason == AttemptReason::Hedge,
        .retries = reason == AttemptReason::Retry,
        .chosenBefore = attempt.sentAt < limit->statedAt(),
    };
    limit->addSent(sent);
    context.metrics.count("limited_attempts");
    if (sent.hedges)
        context.metrics.count("limited_hedges");
    if (sent.retries)
        context.metrics.count("limited_retries");
    if (sent.chosenBefore)
        context.metrics.count("limited_attempts_chosen_before");
}

void recordOutcome(
    AttemptOwner const& owner, RequestAttempt& attempt, AttemptOutcome outcome, AttemptReply const& reply)
{
    using Result = GatewayTarget::Result;
    auto& context = owner.context;
    auto const now = context.hooks.now();
    auto result = Result::Failed;
    if (reply.transport == AttemptReply::Transport::Rejected)
        context.rejectedConnections.onRejected(now);
    bool const mayBlock = context.mechanisms.isEnabled(Mechanism::Blocking);
    if (outcome == AttemptOutcome::Success)
        result = Result::Succeeded;
    else if (mayBlock && reply.transport == AttemptReply::Transport::Rejected)
        result = Result::Full;
    else if (reply.transport == AttemptReply::Transport::Withdrawn)
        result = Result::Abandoned;
    else if (mayBlock && outcome == AttemptOutcome::NotSent)
        result = Result::Unreachable;
    else if (outcome == AttemptOutcome::NotRun)
        result = attempt.target->isWaiting(now) ? Result::TurnedAway : Result::NotRun;
    endAttempt(attempt, result, context.latencies.typical(owner.route, now), now);
    if (outcome == AttemptOutcome::Success)
        context.latencies.add(owner.route, now - attempt.sentAt, now);
    if (outcome == AttemptOutcome::WrongTarget) {
        attempt.target->onReplaced();
        if (context.hooks.withdrawUnsent)
            context.hooks.withdrawUnsent(attempt.target->registration().address);
    }
    if (reply.transport == AttemptReply::Transport::TimedOut)
        context.hooks.closeIdle(attempt.target->registration().address);
    if (reply.transport == AttemptReply::Transport::Answered) {
        auto const load = readLoad(reply.head, context.headers);
        auto const& service = attempt.target->registration().service;
        if (result == Result::NotRun)
            context.fairAdmission.onRejected(service, now);
        else if (load)
            context.fairAdmission.onReport(
                service, static_cast<double>(load->waiting) / std::max(load->slots, 1U), now);
        bool const sharing = context.mechanisms.isEnabled(Mechanism::SharedObservations);
        if (load && attempt.target->onLoadReport(*load, now) && sharing && !attempt.target->isLeaving())
            context.outbox.add({ attempt.target->registration().id, *load->slowdown, {} });
    }
    if (outcome == AttemptOutcome::Success)
        return;
    context.metrics.count("attempt_" + Poco::replace(std::string(toString(outcome)), "-", "_"));
    bool const answered = reply.transport == AttemptReply::Transport::Answered;
    context.log.line("attempt-ended",
        { { "request", owner.requestId }, { "target", attempt.target->registration().id },
            { "service", attempt.target->registration().service }, { "outcome", std::string(toString(outcome)) },
            { answered ? "status" : "transport",
                answered ? std::to_string(static_cast<int>(reply.head.getStatus()))
                         : std::string(toString(reply.transport)) },
            { "why", reply.fault }, { "after_ms", Poco::NumberFormatter::format((now - attempt.sentAt).value, 1) } });
}

} // namespace Toucan
