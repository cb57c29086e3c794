#include "Gateway/GatewayRequest.h"

#include "Gateway/AttemptRecorder.h"
#include "Gateway/CallerIdentity.h"
#include "Gateway/RecordMerger.h"
#include "Gateway/ShardOutlook.h"
#include "Gateway/TargetNoticeRecorder.h"
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <algorithm>
#include <cmath>

namespace Toucan {

using Poco::Net::HTTPResponse;

/// Time by which the deadline precedes the caller's timeout, so that the answer reaches the caller in time.
constexpr Milliseconds answerMargin { 12 };
/// Time to merge and write the answer within the objective when the CPU is busy.
constexpr Milliseconds objectiveMargin { 5 };
/// Time for which attempts that still run after the answer may complete: cancelling them at once would close their
/// connections and lose their latencies.
constexpr Milliseconds remainingAttemptGrace { 350 };
/// Largest number of attempts of one part, including those that were not sent or not run; bounds the work on a service
/// without healthy targets.
constexpr uint32_t maximumAttemptsPerPart = 5;
/// Rejected connections of one part that don't count as attempts: as many as a service usually has replicas, twice.
constexpr size_t maximumRejectionsPerPart = 6;

std::shared_ptr<GatewayRequest> GatewayRequest::create(GatewayContext& context, std::shared_ptr<RouteTable const> table,
    Route const& route, std::vector<std::string> services, ProxiedRequest&& request, Answered sendAnswer)
{
    auto const memory = estimateMemory(request, services.size());
    std::shared_ptr<GatewayRequest> created(
        new GatewayRequest(context, std::move(table), route, std::move(request), std::move(sendAnswer)));
    created->parts.resize(services.size());
    created->estimatedMemory = memory;
    for (size_t index = 0; index < services.size(); ++index)
        created->parts[index].service = std::move(services[index]);
    created->context.runningBytes += created->estimatedMemory;
    return created;
}

Milliseconds callerTimeout(ProxiedRequest const& request, GatewayHeaders const& names, Milliseconds defaultValue)
{
    double timeout = 0;
    if (!Poco::NumberParser::tryParseFloat(request.head.get(names.deadline, ""), timeout) || timeout < 0)
        return defaultValue;
    return std::min(Milliseconds { timeout }, defaultValue);
}

GatewayRequest::GatewayRequest(GatewayContext& context, std::shared_ptr<RouteTable const> table, Route const& route,
    ProxiedRequest&& request, Answered sendAnswer)
    : context(context)
    , table(std::move(table))
    , route(route)
    , request(std::move(request))
    , requestId(this->request.head.get(context.headers.requestId, ""))
    , sendAnswer(std::move(sendAnswer))
    , receivedAt(context.hooks.now())
{
    auto const timeout = callerTimeout(this->request, context.headers, route.timeout);
    this->deadline = this->receivedAt + std::max(timeout - answerMargin, timeout * 0.5);
    auto const reserve = objectiveMargin + this->request.transitTime;
    auto const partial = this->receivedAt + std::max(route.objective - reserve, route.objective * 0.5);
    bool const early = context.mechanisms.isEnabled(Mechanism::EarlyPartialAnswers);
    this->partialAnswerAt = early ? std::min(partial, this->deadline) : this->deadline;
    this->body = std::make_shared<std::string const>(std::move(this->request.body));
    removeConnectionFields(this->request.head);
    setWorkspaceFields(this->request, this->table->access(), this->route, context.headers);
    this->request.head.erase(context.headers.expectedTarget);
    ++context.running;
}

void GatewayRequest::start()
{
    auto const self = this->shared_from_this();
    if (!this->admitWorkspace())
        return;
    for (auto const& part : this->parts)
        this->context.budget.onRequest(part.service, this->receivedAt);
    if (!this->admitParts())
        return;
    if (this->isCanary)
        this->sendCanary();
    else
        this->sendUnsentParts();
    this->started = true;
    this->answerIfDecided();
}

void GatewayRequest::sendUnsentParts()
{
    for (size_t index = 0; index < this->parts.size(); ++index) {
        auto const& part = this->parts[index];
        if (part.state == Part::State::Waiting && part.attempts.empty() && !this->send(index, AttemptReason::First))
            this->failPart(index);
    }
}

void GatewayRequest::logNoTarget(Part const& part, size_t registered, size_t usable) const
{
    this->context.metrics.count("attempts_without_target");
    this->context.log.line("no-target",
        { { "request", this->requestId }, { "service", part.service }, { "registered", std::to_string(registered) },
            { "tried", std::to_string(part.attempts.size()) }, { "usable", std::to_string(usable) } });
}

bool GatewayRequest::admitWorkspace()
{
    if (!this->table->access().hasWorkspaces() || !this->context.mechanisms.isEnabled(Mechanism::FairAdmission))
        return true;
    auto const* const workspace = this->request.workspace.get();
    std::vector<std::string_view> services;
    for (auto const& part : this->parts)
        services.emplace_back(part.service);
    auto const [rank, ranks] = this->table->priorityOf(this->route, workspace);
    std::string_view const name = workspace ? std::string_view(workspace->name) : std::string_view();
    auto const decision = this->context.fairAdmission.admit(
        { name, workspace ? workspace->ratePerSecond : 0, rank, ranks, services }, this->now());
    if (decision.isAdmitted)
        return true;
    this->context.metrics.count("requests_without_capacity");
    if (workspace)
        this->context.workspaceMetrics.count(name, WorkspaceMetrics::Event::RefusedCapacity);
    this->context.log.line("no-capacity",
        { { "request", this->requestId }, { "workspace", std::string(name) }, { "rank", std::to_string(rank) },
            { "admitted_share", Poco::NumberFormatter::format(decision.probability, 3) },
            { "relative_rate", Poco::NumberFormatter::format(decision.rate, 2) },
            { "queue_per_slot", Poco::NumberFormatter::format(decision.queuePerSlot, 2) } });
    this->answerProblem(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no capacity for this workspace; not run");
    return false;
}

bool GatewayRequest::admitParts()
{
    auto const now = this->now();
    std::vector<ShardOutlook> outlooks;
    size_t usable = 0;
    for (auto& part : this->parts) {
        auto const targets = this->context.directory.targets(part.service);
        auto const& outlook = outlooks.emplace_back(outlookOf(targets, now));
        if (outlook.usable > 0) {
            ++usable;
            continue;
        }
        part.retryAt = outlook.availableAt;
        part.state = Part::State::Missing;
        this->logNoTarget(part, targets.size(), 0);
    }
    if (!this->isSufficient(usable)) {
        this->answerFailure();
        return false;
    }
    if (!this->context.mechanisms.isEnabled(Mechanism::PartAdmission))
        return true;
    auto const omitted = this->context.admission.omit(outlooks, this->parts.size() - this->requiredParts());
    for (auto const index : omitted) {
        this->context.metrics.count("parts_omitted");
        this->context.log.line("part-omitted",
            { { "request", this->requestId }, { "service", this->parts[index].service },
                { "queue_per_slot", Poco::NumberFormatter::format(outlooks[index].queuePerSlot, 2) } });
        this->parts[index].state = Part::State::Omitted;
    }
    return true;
}

Poco::Net::HTTPRequest GatewayRequest::createHead(GatewayTarget const& target) const
{
    auto head = this->request.head;
    this->setRemainingTime(head);
    head.set(this->context.headers.expectedTarget, target.registration().id);
    return head;
}

void GatewayRequest::setRemainingTime(Poco::Net::HTTPRequest& head) const
{
    auto const left = std::max(this->deadline - this->now(), Milliseconds { 1 });
    head.set(this->context.headers.deadline, Poco::NumberFormatter::format(static_cast<int>(left.value)));
}

bool GatewayRequest::send(size_t partIndex, AttemptReason reason)
{
    auto& part = this->parts[partIndex];
    auto const now = this->now();
    auto const targets = this->context.directory.targets(part.service);
    std::vector<TargetDirectory::TargetPointer> tried;
    // A target that rejected a connection has received nothing; it may be tried again when its block ends.
    for (auto const& attempt : part.attempts) {
        if (!attempt.rejected)
            tried.push_back(attempt.target);
    }
    auto const typical = this->context.latencies.typical(this->route, now);
    auto const connections = this->context.hooks.connectionShare(this->table->connectionLimit(part.service));
    auto const target = this->context.selector.choose(targets, tried,
        { typical, connections, this->context.hooks.hasIdleConnection, this->context.mechanisms,
            this->context.rejectedConnections.cost(now), this->context.hooks.hasConnection },
        now);
    if (!target || this->ledger.isExhausted() || (target->isDraining() && !this->ledger.mayUseLastResort())) {
        auto const outlook = outlookOf(targets, now);
        part.retryAt = outlook.availableAt;
        this->logNoTarget(part, targets.size(), outlook.usable);
        return false;
    }
    std::optional<Milliseconds> extraTakenAt;
    // Attempts after one that was sent add load to the service, whatever the outcome of that one.
    if (reason != AttemptReason::First && part.sentAttempts > 0) {
        auto const hedge
            = this->route.isScattered() ? ExtraAttemptBudget::Use::PartHedge : ExtraAttemptBudget::Use::Hedge;
        auto const use = reason == AttemptReason::Hedge ? hedge : ExtraAttemptBudget::Use::Retry;
        if (!this->context.budget.tryTake(part.service, use, now)) {
            this->context.metrics.count("extra_attempts_denied");
            this->context.log.line("extra-attempt-denied",
                { { "request", this->requestId }, { "service", part.service }, { "why", "budget spent" } });
            return false;
        }
        extraTakenAt = now;
        ++this->extraAttempts;
        this->context.metrics.count(reason == AttemptReason::Hedge ? "hedges" : "retries");
    }
    AttemptMessage message;
    message.address = target->registration().address;
    message.connections = connections;
    message.head = this->createHead(*target);
    message.body = this->body;
    // The request's own timer fires first, so that it chooses between a partial answer and a timeout.
    message.timeout = this->deadline - now + Milliseconds { 5 };
    message.bodyLimit
        = this->route.isScattered() ? partBodyLimit(this->route.recordLimit) : this->context.answerBodyLimit;
    message.needsFreshConnection = this->route.repeatability == Repeatability::NonIdempotent;
    message.isOwnResponse = [names = &this->context.headers, id = this->requestId](HTTPResponse const& head,
                                bool first) { return answersRequest(head, id, first, *names); };
    auto const attemptIndex = part.attempts.size();
    bool const asLastResort = target->isDraining();
    // A draining target is used only while its fallback time lasts, so the request doesn't wait for a connection to it.
    message.mayWait = !asLastResort;
    message.maySend
        = [self = this->shared_from_this(), partIndex, attemptIndex, address = message.address, asLastResort] {
              auto const& attempt = self->parts[partIndex].attempts[attemptIndex];
              return mayReceiveAssigned(*attempt.target, { asLastResort, attempt.hasPermit }, self->now())
                  && self->mayBegin() && attempt.target->registration().address == address;
          };
    message.assigned = [self = this->shared_from_this(), partIndex, attemptIndex] {
        self->parts[partIndex].attempts[attemptIndex].onConnection = true;
    };
    message.beforeSending
        = [self = this->shared_from_this(), partIndex, attemptIndex, reason](Poco::Net::HTTPRequest& head) {
              auto& attempt = self->parts[partIndex].attempts[attemptIndex];
              attempt.sent = true;
              attempt.hasPermit = attempt.hasPermit || attempt.target->takePermit(self->now());
              countSent(self->context, attempt, reason);
              self->setRemainingTime(head);
          };
    message.onResponseHead = [self = this->shared_from_this(), target, now](HTTPResponse const& head) {
        recordNotice(self->context, { target, self->requestId, now }, head);
    };
    target->onSent(now);
    part.attempts.push_back({ target, now, {} });
    part.attempts.back().hasPermit = target->takePermit(now);
    part.attempts.back().extraTakenAt = extraTakenAt;
    part.attempts.back().isHedge = reason == AttemptReason::Hedge;
    ++part.sentAttempts;
    bool const mayHedge = this->route.repeatability == Repeatability::Idempotent && this->ledger.mayHedge()
        && this->context.mechanisms.isEnabled(Mechanism::Hedging);
    part.hedgeAt.reset();
    if (mayHedge && part.runs + part.runningAttempts() < this->route.maximumRuns)
        part.hedgeAt = now
            + this->context.latencies.hedgeDelay(this->route, this->context.budget.spentShare(part.service, now), now);
    part.attempts[attemptIndex].cancel = this->context.hooks.send(
        std::move(message), [self = this->shared_from_this(), partIndex, attemptIndex](AttemptReply&& reply) {
            self->onReply(partIndex, attemptIndex, std::move(reply));
        });
    this->context.metrics.count("attempts");
    return true;
}

void GatewayRequest::onReply(size_t partIndex, size_t attemptIndex, AttemptReply&& reply)
{
    auto& part = this->parts[partIndex];
    auto& attempt = part.attempts[attemptIndex];
    if (!attempt.running)
        return;
    attempt.running = false;
    attempt.cancel = nullptr;
    auto const outcome = outcomeOf(reply, this->context.headers);
    recordOutcome({ this->context, this->route, this->requestId }, attempt, outcome, reply);
    bool const mayHaveRun = outcome == AttemptOutcome::Success || outcome == AttemptOutcome::TargetFailed
        || outcome == AttemptOutcome::Unknown;
    if (mayHaveRun)
        ++part.runs;
    attempt.rejected = reply.transport == AttemptReply::Transport::Rejected;
    if (outcome == AttemptOutcome::NotSent) {
        --part.sentAttempts;
        if (attempt.extraTakenAt)
            this->context.budget.giveBack(part.service, *attempt.extraTakenAt);
    }
    if (reply.transport == AttemptReply::Transport::Broken && reply.fault.empty()) {
        this->awaitVerdict(partIndex, attemptIndex);
        return;
    }
    if (this->finished || part.state != Part::State::Waiting)
        return;
    if (outcome == AttemptOutcome::Success)
        this->onSuccess(partIndex, std::move(reply));
    else
        this->onFailure(partIndex, attemptIndex, outcome, std::move(reply));
    this->continueAfterCanary();
    this->answerIfDecided();
}

void GatewayRequest::onSuccess(size_t partIndex, AttemptReply&& reply)
{
    auto& part = this->parts[partIndex];
    part.state = Part::State::Succeeded;
    part.hedgeAt.reset();
    part.signature = reply.head.get(this->context.headers.signature);
    // Only the greatest records can be in the answer; reducing each part now bounds the memory of the waiting parts.
    if (this->route.isScattered())
        part.body = mergeRecords(std::vector<std::string_view> { reply.body }, this->route.recordLimit);
    else
        part.reply = std::move(reply);
}

bool GatewayRequest::mayRetry(Part const& part, AttemptOutcome outcome) const
{
    auto const rejected = std::min(part.rejectedAttempts(), maximumRejectionsPerPart);
    if (part.attempts.size() - rejected >= maximumAttemptsPerPart || this->now() >= this->deadline)
        return false;
    bool const mayHaveRun = outcome == AttemptOutcome::TargetFailed || outcome == AttemptOutcome::Unknown;
    if (!mayHaveRun)
        return !this->ledger.isExhausted();
    if (this->canaryPart && this->ledger.isRestricted())
        return false;
    auto const others = this->succeededParts() + this->countParts(Part::State::Waiting) - 1;
    auto const need
        = this->isSufficient(others) ? TerminationLedger::Need::Optional : TerminationLedger::Need::Required;
    if (!this->ledger.mayRetry(need))
        return false;
    return this->route.repeatability == Repeatability::Idempotent && part.runs < this->route.maximumRuns;
}

/// Whether the target answered 4xx, which is taken as a fault of the request: no other target is tried.
static bool isFinalRefusal(AttemptOutcome outcome, AttemptReply const& reply)
{
    auto const status = static_cast<int>(reply.head.getStatus());
    return outcome == AttemptOutcome::TargetFailed && status >= 400 && status < 500;
}

void GatewayRequest::onFailure(size_t partIndex, size_t attemptIndex, AttemptOutcome outcome, AttemptReply&& reply)
{
    auto& part = this->parts[partIndex];
    bool const isRejectedHedge = part.attempts[attemptIndex].isHedge && part.attempts[attemptIndex].rejected;
    bool const refused = isFinalRefusal(outcome, reply);
    if (outcome == AttemptOutcome::TargetFailed)
        part.reply = std::move(reply);
    if (refused) {
        this->failPart(partIndex);
        return;
    }
    if (part.runningAttempts() > 0) {
        // The slow attempt that was to be hedged still runs; another replica may be connected.
        if (isRejectedHedge && this->mayRetry(part, outcome))
            this->send(partIndex, AttemptReason::Hedge);
        return;
    }
    if (!this->mayRetry(part, outcome) || !this->send(partIndex, AttemptReason::Retry))
        this->failPart(partIndex);
}

void GatewayRequest::failPart(size_t partIndex)
{
    auto& part = this->parts[partIndex];
    part.state = Part::State::Missing;
    part.hedgeAt.reset();
}

size_t GatewayRequest::countParts(Part::State state) const
{
    return static_cast<size_t>(std::count_if(
        this->parts.begin(), this->parts.end(), [state](Part const& part) { return part.state == state; }));
}

size_t GatewayRequest::requiredParts() const
{
    if (!this->route.isScattered())
        return 1;
    // The tolerance keeps 0.9 of 10 shards from becoming 10 by rounding.
    auto const required = std::ceil(this->route.minimumCoverage * static_cast<double>(this->parts.size()) - 1e-9);
    return std::max<size_t>(static_cast<size_t>(std::max(required, 0.0)), 1);
}

bool GatewayRequest::isSufficient(size_t count) const { return count >= this->requiredParts(); }

bool GatewayRequest::mayHaveRunAnywhere() const
{
    return std::any_of(this->parts.begin(), this->parts.end(),
        [](Part const& part) { return part.runs > 0 || part.runningAttempts() > 0; });
}

void GatewayRequest::sendRequiredOmittedParts()
{
    for (size_t index = 0; index < this->parts.size(); ++index) {
        if (this->isSufficient(this->succeededParts() + this->countParts(Part::State::Waiting)))
            return;
        if (this->parts[index].state != Part::State::Omitted)
            continue;
        this->parts[index].state = Part::State::Waiting;
        // It is sent when the canary part has succeeded.
        if (this->canaryPart)
            continue;
        if (!this->send(index, AttemptReason::First))
            this->failPart(index);
    }
}

void GatewayRequest::answerIfDecided()
{
    if (this->finished || !this->started)
        return;
    this->sendRequiredOmittedParts();
    auto const waiting = this->countParts(Part::State::Waiting);
    auto const succeeded = this->succeededParts();
    if (!this->isSufficient(succeeded + waiting)) {
        if (this->isSharingTerminations())
            return;
        this->answerFailure();
        return;
    }
    if (waiting == 0 || (this->now() >= this->partialAnswerAt && this->isSufficient(succeeded))) {
        this->answerSuccess();
        return;
    }
    this->setTimer();
}

std::optional<Milliseconds> GatewayRequest::nextHedge() const
{
    std::optional<Milliseconds> next;
    for (auto const& part : this->parts) {
        if (part.state == Part::State::Waiting && part.hedgeAt)
            next = next ? std::min(*next, *part.hedgeAt) : *part.hedgeAt;
    }
    return next;
}

void GatewayRequest::setTimer()
{
    auto const now = this->now();
    auto at = this->deadline;
    if (this->route.isScattered() && now < this->partialAnswerAt)
        at = std::min(at, this->partialAnswerAt);
    if (auto const hedge = this->nextHedge())
        at = std::min(at, *hedge);
    if (this->timerAt && *this->timerAt <= at)
        return;
    if (this->cancelTimer)
        this->cancelTimer();
    this->timerAt = at;
    this->cancelTimer = this->context.hooks.schedule(at, [self = this->shared_from_this()] { self->onTimer(); });
}

void GatewayRequest::onTimer()
{
    this->timerAt.reset();
    this->cancelTimer = {};
    if (this->finished)
        return;
    if (this->now() >= this->deadline) {
        if (this->isSufficient(this->succeededParts()))
            this->answerSuccess();
        else
            this->answerTimeout();
        return;
    }
    this->sendDueHedges();
    this->answerIfDecided();
}

void GatewayRequest::sendDueHedges()
{
    auto const now = this->now();
    for (size_t index = 0; index < this->parts.size(); ++index) {
        auto& part = this->parts[index];
        if (part.state != Part::State::Waiting || !part.hedgeAt || *part.hedgeAt > now)
            continue;
        part.hedgeAt.reset();
        if (!this->ledger.mayHedge())
            continue;
        auto const waited = now - part.attempts.back().sentAt;
        if (this->send(index, AttemptReason::Hedge))
            this->context.log.line("hedge",
                { { "request", this->requestId }, { "service", part.service },
                    { "slow", part.attempts[part.attempts.size() - 2].target->registration().id },
                    { "target", part.attempts.back().target->registration().id },
                    { "waited_ms", Poco::NumberFormatter::format(waited.value, 1) } });
    }
}

void GatewayRequest::answerSuccess()
{
    this->clearFingerprint();
    if (!this->route.isScattered()) {
        this->forwardReply("relayed");
        return;
    }
    ProxiedAnswer answer;
    std::string signatures;
    std::vector<std::string_view> bodies;
    for (auto const& part : this->parts) {
        if (part.state != Part::State::Succeeded)
            continue;
        signatures += (signatures.empty() ? "" : ", ") + part.signature;
        bodies.emplace_back(part.body);
    }
    auto const missing = this->parts.size() - bodies.size();
    answer.head.setStatusAndReason(HTTPResponse::HTTP_OK);
    answer.head.set(this->context.headers.requestId, this->requestId);
    answer.head.set(this->context.headers.partSignatures, signatures);
    answer.head.set(this->context.headers.missingParts, std::to_string(missing));
    answer.body = mergeRecords(bodies, this->route.recordLimit);
    if (missing)
        this->context.metrics.count("partial_answers");
    this->answer(std::move(answer), missing ? "partial" : "whole");
}

void GatewayRequest::forwardReply(std::string_view result)
{
    auto& reply = *this->parts.front().reply;
    // The length that the response to GET would have; it frames nothing here.
    std::string const lengthOfGet = this->request.head.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD
        ? reply.head.get("Content-Length", "")
        : "";
    removeConnectionFields(reply.head);
    if (!lengthOfGet.empty() && lengthOfGet.find_first_not_of("0123456789") == std::string::npos)
        reply.head.set("Content-Length", lengthOfGet);
    this->answer({ reply.head, std::move(reply.body), std::move(reply.memory) }, result);
}

void GatewayRequest::answerFailure()
{
    // The failure of a forwarded request is the target's own answer and is forwarded unchanged.
    if (!this->route.isScattered() && this->parts.front().reply) {
        this->forwardReply("target-failure");
        return;
    }
    if (this->mayHaveRunAnywhere())
        this->answerProblem(HTTPResponse::HTTP_BAD_GATEWAY, "the targets failed; the outcome is unknown");
    else
        this->answerProblem(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no target is available; not run");
}

void GatewayRequest::answerTimeout()
{
    this->answerProblem(HTTPResponse::HTTP_GATEWAY_TIMEOUT, "the time of the request has passed");
}

std::optional<Milliseconds> GatewayRequest::availableIn() const
{
    std::optional<Milliseconds> latest;
    for (auto const& part : this->parts) {
        if (part.state != Part::State::Missing || !part.retryAt)
            continue;
        auto const at = std::max(*part.retryAt - this->now(), Milliseconds {});
        latest = std::max(latest.value_or(at), at);
    }
    return latest;
}

void GatewayRequest::answerProblem(HTTPResponse::HTTPStatus status, std::string_view reason)
{
    ProxiedAnswer answer;
    answer.head.setStatusAndReason(status);
    answer.head.set(this->context.headers.requestId, this->requestId);
    answer.head.setContentType("text/plain");
    if (status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
        auto const left = this->deadline - this->now();
        auto const wait = this->context.retryAdvice.wait({ this->availableIn(), left, left });
        answer.head.set(this->context.headers.retryAfter, Poco::NumberFormatter::format(wait.value / 1000, 3));
    }
    answer.body = std::string(reason) + "\n";
    this->answer(std::move(answer), reason);
}

void GatewayRequest::finish()
{
    this->finished = true;
    --this->context.running;
    this->context.runningBytes -= this->estimatedMemory;
    if (auto const cancel = std::exchange(this->cancelQuotaWait, nullptr))
        cancel();
    if (auto const cancel = std::exchange(this->cancelTimer, nullptr))
        cancel();
}

void GatewayRequest::answer(ProxiedAnswer&& answer, std::string_view result)
{
    this->finish();
    auto const now = this->now();
    auto const status = static_cast<int>(answer.head.getStatus());
    this->context.metrics.observe(this->route.name, now - this->receivedAt, now);
    this->context.metrics.count("answers_" + std::to_string(status));
    bool const late = now - this->receivedAt > this->route.objective;
    if (status >= 300 || late || result == "partial") {
        std::string missing;
        for (auto const& part : this->parts) {
            if (part.state != Part::State::Succeeded)
                missing += (missing.empty() ? "" : ",") + part.service;
        }
        this->context.log.line("answered",
            { { "request", this->requestId }, { "route", this->route.name },
                { "configuration", std::to_string(this->table->version()) }, { "status", std::to_string(status) },
                { "result", std::string(result) },
                { "after_ms", Poco::NumberFormatter::format((now - this->receivedAt).value, 1) },
                { "late", late ? "yes" : "no" }, { "extra", std::to_string(this->extraAttempts) },
                { "missing", missing } });
    }
    if (this->context.mechanisms.isEnabled(Mechanism::WaitingAttemptCancellation))
        this->cancelWaitingAttempts();
    this->returnUnusedPermit();
    bool const attemptsRunning = std::any_of(
        this->parts.begin(), this->parts.end(), [](Part const& part) { return part.runningAttempts() > 0; });
    if (attemptsRunning)
        this->context.hooks.schedule(
            now + remainingAttemptGrace, [self = this->shared_from_this()] { self->cancelAttempts(); });
    if (auto const callback = std::exchange(this->sendAnswer, nullptr))
        callback(std::move(answer));
}

void GatewayRequest::cancelAttempt(Attempt& attempt, GatewayTarget::Result result)
{
    attempt.running = false;
    endAttempt(attempt, result, std::nullopt, this->now());
    if (auto const cancel = std::exchange(attempt.cancel, nullptr))
        cancel();
}

void GatewayRequest::cancelWaitingAttempts()
{
    for (auto& part : this->parts) {
        for (auto& attempt : part.attempts) {
            if (attempt.running && !attempt.onConnection)
                this->cancelAttempt(attempt, GatewayTarget::Result::Abandoned);
        }
    }
}

void GatewayRequest::cancelUnsentAttempts()
{
    for (auto& part : this->parts) {
        for (auto& attempt : part.attempts) {
            if (attempt.running && !attempt.sent)
                this->cancelAttempt(attempt, GatewayTarget::Result::Abandoned);
        }
    }
}

void GatewayRequest::cancelAttempts()
{
    if (this->route.repeatability == Repeatability::NonIdempotent)
        return;
    for (auto& part : this->parts) {
        for (auto& attempt : part.attempts) {
            if (!attempt.running)
                continue;
            // An attempt that is still unanswered after the grace period counts as a failure of its target.
            auto const result = this->sendAnswer ? GatewayTarget::Result::Abandoned : GatewayTarget::Result::Failed;
            this->cancelAttempt(attempt, result);
            // The other idle connections to the target may be dead as well; new ones show whether it responds.
            if (result == GatewayTarget::Result::Failed)
                this->context.hooks.closeIdle(attempt.target->registration().address);
        }
    }
}

void GatewayRequest::stop()
{
    if (this->finished)
        return;
    auto const self = this->shared_from_this();
    if (!this->cancelQuotaWait && this->isSufficient(this->succeededParts()))
        this->answerSuccess();
    else if (this->mayHaveRunAnywhere())
        this->answerProblem(HTTPResponse::HTTP_BAD_GATEWAY, "the node stops; the outcome is unknown");
    else
        this->answerProblem(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the node stops; not run");
}

void GatewayRequest::abandon()
{
    if (this->finished)
        return;
    auto const self = this->shared_from_this();
    this->finish();
    this->context.metrics.count("callers_gone");
    this->context.log.line("caller-gone",
        { { "request", this->requestId },
            { "after_ms", Poco::NumberFormatter::format((this->now() - this->receivedAt).value, 1) } });
    // Nobody waits for an answer, so what has not been sent is not sent, whatever the route.
    this->cancelUnsentAttempts();
    this->returnUnusedPermit();
    this->cancelAttempts();
    this->sendAnswer = nullptr;
}

} // namespace Toucan
