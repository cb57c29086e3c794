#include "Engine/TargetDispatcher.h"

#include "Engine/AnswerReader.h"

#include <algorithm>

namespace Toucan {

/// Weight of a new sample in the exponential moving average.
static constexpr double smoothingFactor = 0.1;
static constexpr Milliseconds firstStatusTimeout { 500 };
/// The network layer ends each call at its deadline; a call that is still running this long afterwards frees its slot.
static constexpr Milliseconds overdueGracePeriod { 250 };
static constexpr Milliseconds defaultBackOff { 10 };
static constexpr Milliseconds maximumBackOff { 5000 };
/// Largest random addition to a back-off, as a share of it.
static constexpr double backOffJitter = 0.5;
/// Estimated waits err by several percent, and a part that misses its deadline has wasted its slot.
static constexpr double estimateMargin = 1.1;
/// Service times vary; a part with less than this many mean service times left often misses its deadline.
static constexpr double minimumServiceTimesLeft = 1.5;

TargetDispatcher::TargetDispatcher(DispatcherContext& context, std::string name)
    : context(context)
    , name(std::move(name))
{
}

void TargetDispatcher::configure(
    TargetDefinition const& next, Rule const& nextRule, uint32_t share, uint32_t leastUrgent, Milliseconds now)
{
    this->definition = next;
    this->rule = nextRule;
    this->connectionShare = share;
    this->retired = false;
    if (this->firstStatusDeadline == noWakeup)
        this->firstStatusDeadline = now + firstStatusTimeout;
    this->slotLimit.setSlots(next.slots);
    if (leastUrgent != this->leastUrgentClass) {
        this->leastUrgentClass = leastUrgent;
        this->leastUrgentClassCalls = static_cast<uint32_t>(std::ranges::count_if(this->calls,
            [leastUrgent](auto const& call) { return call.second.part.request.classIndex >= leastUrgent; }));
    }
    this->returnQueueIfDraining(now);
    this->sendReadyParts(now);
}

void TargetDispatcher::retire(Milliseconds now)
{
    this->retired = true;
    for (auto const& part : this->queue.takeIf([](auto const&) { return true; })) {
        this->clearTimer(part.request.attempt, part.deadline);
        this->endWithoutAnswer(part, PartStatus::NoDispatcher, now);
    }
}

bool TargetDispatcher::isDraining() const
{
    return this->definition.intent == TargetIntent::Draining || this->state.get() == TargetState::Draining;
}

uint32_t TargetDispatcher::slots() const
{
    return std::max(1U, std::min(this->slotLimit.current(this->state.get()), this->connectionShare));
}

Milliseconds TargetDispatcher::expectedWait(uint32_t classIndex, Milliseconds now) const
{
    auto const ahead = static_cast<double>(this->queue.sizeAhead(classIndex));
    auto const remainingBackOff = std::max(Milliseconds {}, this->backOffEnd - now);
    return remainingBackOff + this->smoothedServiceTime * (ahead / this->slots());
}

bool TargetDispatcher::isTooLate(QueuedPart const& part, Milliseconds now) const
{
    if (part.deadline <= now)
        return true;
    // The last queued part is always sent, so that the service time of a target that was slow is measured again.
    return this->rule.limits == Feature::On && part.request.idempotence == Idempotence::Idempotent
        && !this->queue.empty() && now + this->smoothedServiceTime * minimumServiceTimesLeft > part.deadline;
}

void TargetDispatcher::submit(QueuedPart&& part, Milliseconds now)
{
    if (this->retired)
        return this->endWithoutAnswer(part, PartStatus::NoDispatcher, now);
    if (this->isDraining())
        return this->endWithoutAnswer(part, PartStatus::Shed, now);
    if (part.deadline <= now)
        return this->endWithoutAnswer(part, PartStatus::ExpiredInQueue, now);
    if (this->rule.limits == Feature::On) {
        auto const classIndex = part.request.classIndex;
        auto const startsAtOnce = this->queue.empty() && this->mayStart(classIndex, now);
        // A part that can start at once is always accepted: its service time shows whether the target became faster.
        auto const expectedEnd = (this->expectedWait(classIndex, now) + this->smoothedServiceTime) * estimateMargin;
        if (!startsAtOnce && now + expectedEnd > part.deadline)
            return this->endWithoutAnswer(part, PartStatus::Refused, now);
        if (!startsAtOnce && this->queue.size() >= this->rule.queueLimit) {
            auto const dropped = this->queue.popLessUrgentThan(classIndex);
            if (!dropped)
                return this->endWithoutAnswer(part, PartStatus::Refused, now);
            this->endWithoutAnswer(*dropped, PartStatus::Refused, now);
        }
    }
    this->setTimer(part.request.attempt, part.deadline);
    this->queue.push(std::move(part));
    this->sendReadyParts(now);
}

bool TargetDispatcher::mayStart(uint32_t classIndex, Milliseconds now) const
{
    if (this->rule.limits == Feature::Off)
        return true;
    auto const limit = this->slots();
    if (now < this->backOffEnd || this->calls.size() >= limit)
        return false;
    auto const mustLeaveOneSlot = limit > 1 && this->leastUrgentClass > 0 && classIndex >= this->leastUrgentClass;
    return !mustLeaveOneSlot || this->leastUrgentClassCalls < limit - 1;
}

void TargetDispatcher::sendReadyParts(Milliseconds now)
{
    if (this->retired || this->isDraining() || this->awaitsFirstStatus(now))
        return;
    for (auto next = this->queue.nextClass(); next && this->mayStart(*next, now); next = this->queue.nextClass()) {
        auto part = *this->queue.pop();
        this->clearTimer(part.request.attempt, part.deadline);
        if (this->isTooLate(part, now))
            this->endWithoutAnswer(part, PartStatus::ExpiredInQueue, now);
        else
            this->send(std::move(part), now);
    }
}

void TargetDispatcher::send(QueuedPart&& part, Milliseconds now)
{
    ++this->context.counters.sent;
    TargetCall call { part.request, this->definition.address, this->connectionShare };
    call.part.remaining = part.deadline - now;
    this->leastUrgentClassCalls += part.request.classIndex >= this->leastUrgentClass ? 1 : 0;
    this->setTimer(part.request.attempt, part.deadline + overdueGracePeriod);
    auto const attempt = part.request.attempt;
    this->calls.emplace(attempt, Call { std::move(part), now, false });
    this->context.outbox.post([&hooks = this->context.hooks, call = std::move(call)] { hooks.send(call); });
}

std::optional<TargetDispatcher::Call> TargetDispatcher::endCall(AttemptId const& attempt)
{
    auto const found = this->calls.find(attempt);
    if (found == this->calls.end())
        return std::nullopt;
    auto call = std::move(found->second);
    this->calls.erase(found);
    this->clearTimer(attempt, call.part.deadline + overdueGracePeriod);
    this->leastUrgentClassCalls -= call.part.request.classIndex >= this->leastUrgentClass ? 1 : 0;
    return call;
}

void TargetDispatcher::onAnswer(TargetAnswer&& answer, Milliseconds now)
{
    if (answer.transport == TargetAnswer::Transport::Answered) {
        this->stateKnown = true;
        this->state.set(answer.state, now);
        this->load = answer.load;
    }
    if (auto call = this->endCall(answer.attempt)) {
        auto result = readTargetAnswer(std::move(answer), call->part.request, this->rule.echoCheck);
        result.serviceTime = now - call->sent;
        result.queueTime = call->sent - call->part.arrived;
        result.state = this->isDraining() ? TargetState::Draining : this->state.get();
        result.load = this->load;
        result.dispatcherQueueLength = static_cast<uint32_t>(this->queue.size());
        this->updateEstimates(result, now);
        if (!call->discardResult)
            this->postResult(call->part.sender, std::move(result));
    } else {
        ++this->context.counters.lateAnswers;
    }
    this->returnQueueIfDraining(now);
    this->sendReadyParts(now);
}

void TargetDispatcher::updateEstimates(PartResult const& result, Milliseconds now)
{
    if (result.status == PartStatus::Complete) {
        this->slotLimit.onSuccess();
        if (this->smoothedServiceTime == Milliseconds {})
            this->smoothedServiceTime = result.serviceTime;
        else
            this->smoothedServiceTime += (result.serviceTime - this->smoothedServiceTime) * smoothingFactor;
        return;
    }
    if (result.status != PartStatus::Shed)
        return;
    ++this->context.counters.shed;
    if (result.state == TargetState::Draining)
        return;
    this->slotLimit.onShed();
    auto const base = result.retryAfter > Milliseconds {} ? result.retryAfter : defaultBackOff;
    auto const jittered = std::min(base, maximumBackOff) * (1 + backOffJitter * this->context.hooks.random());
    this->backOffEnd = std::max(this->backOffEnd, now + jittered);
    this->backOffWakeup = this->backOffEnd;
}

void TargetDispatcher::onStatus(TargetState next, TargetLoad const& reported, Milliseconds now)
{
    this->stateKnown = true;
    this->state.set(next, now);
    this->load = reported;
    this->returnQueueIfDraining(now);
    this->sendReadyParts(now);
}

void TargetDispatcher::returnQueueIfDraining(Milliseconds now)
{
    if (!this->isDraining())
        return;
    // No byte of a queued part was sent, so the entry node may retry it on another replica, commands included.
    for (auto const& part : this->queue.takeIf([](auto const&) { return true; })) {
        this->clearTimer(part.request.attempt, part.deadline);
        this->endWithoutAnswer(part, PartStatus::Shed, now);
    }
}

bool TargetDispatcher::holds(AttemptId const& attempt) const
{
    return this->calls.contains(attempt) || this->queue.contains(attempt);
}

bool TargetDispatcher::cancel(AttemptId const& attempt, Milliseconds now)
{
    if (this->calls.contains(attempt)) {
        this->context.outbox.post(
            [&hooks = this->context.hooks, attempt, target = this->name] { hooks.cancel(attempt, target); });
        return true;
    }
    auto const queuedParts = this->queue.takeIf([&](auto const& part) { return part.request.attempt == attempt; });
    for (auto const& part : queuedParts) {
        this->clearTimer(attempt, part.deadline);
        this->endWithoutAnswer(part, PartStatus::Cancelled, now);
    }
    return !queuedParts.empty();
}

void TargetDispatcher::dropPartsFrom(std::string const& sender, Milliseconds now)
{
    auto const isAbandoned = [&](QueuedPart const& part) {
        return part.sender == sender && part.request.idempotence == Idempotence::Idempotent;
    };
    for (auto const& part : this->queue.takeIf(isAbandoned))
        this->clearTimer(part.request.attempt, part.deadline);
    for (auto& [attempt, call] : this->calls) {
        if (!isAbandoned(call.part) || call.discardResult)
            continue;
        call.discardResult = true;
        this->context.outbox.post(
            [&hooks = this->context.hooks, attempt = attempt, target = this->name] { hooks.cancel(attempt, target); });
    }
    this->sendReadyParts(now);
}

void TargetDispatcher::endWithoutAnswer(QueuedPart const& part, PartStatus status, Milliseconds now)
{
    auto& counters = this->context.counters;
    counters.refused += status == PartStatus::Refused ? 1 : 0;
    counters.expired += status == PartStatus::ExpiredInQueue ? 1 : 0;
    auto result = resultWithoutAnswer(part.request, status);
    result.queueTime = now - part.arrived;
    result.state = this->isDraining() ? TargetState::Draining : this->state.get();
    result.load = this->load;
    result.dispatcherQueueLength = static_cast<uint32_t>(this->queue.size());
    this->postResult(part.sender, std::move(result));
}

void TargetDispatcher::postResult(std::string const& sender, PartResult&& result)
{
    this->context.outbox.post([&hooks = this->context.hooks, sender, result = std::move(result)]() mutable {
        hooks.result(sender, std::move(result));
    });
}

void TargetDispatcher::onTimer(AttemptId const& attempt, Milliseconds now)
{
    if (this->calls.contains(attempt))
        return this->endOverdueCall(attempt, now);
    for (auto const& part : this->queue.takeIf([&](auto const& queued) { return queued.request.attempt == attempt; }))
        this->endWithoutAnswer(part, PartStatus::ExpiredInQueue, now);
}

void TargetDispatcher::endOverdueCall(AttemptId const& attempt, Milliseconds now)
{
    auto const call = this->endCall(attempt);
    ++this->context.counters.overdue;
    this->context.outbox.post(
        [&hooks = this->context.hooks, attempt, target = this->name] { hooks.cancel(attempt, target); });
    if (!call->discardResult)
        this->endWithoutAnswer(call->part, PartStatus::DeadlineExceeded, now);
}

void TargetDispatcher::advance(Milliseconds now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        auto const attempt = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        this->onTimer(attempt, now);
    }
    if (now >= this->backOffWakeup)
        this->backOffWakeup = noWakeup;
    this->sendReadyParts(now);
}

Milliseconds TargetDispatcher::nextWakeup() const
{
    auto const timer = this->timers.empty() ? noWakeup : this->timers.begin()->first;
    auto const next = std::min(timer, this->backOffWakeup);
    return this->stateKnown || this->queue.empty() ? next : std::min(next, this->firstStatusDeadline);
}

Json::Value TargetDispatcher::describe(Milliseconds now) const
{
    Json::Value result(Json::objectValue);
    result["queued"] = Json::UInt64 { this->queue.size() };
    result["running"] = Json::UInt64 { this->calls.size() };
    result["slots"] = this->slots();
    result["connectionShare"] = this->connectionShare;
    result["state"] = this->isDraining()             ? "draining"
        : this->state.get() == TargetState::Starting ? "starting"
                                                     : "serving";
    result["serviceMs"] = this->smoothedServiceTime.value;
    result["backingOff"] = now < this->backOffEnd;
    return result;
}

} // namespace Toucan
