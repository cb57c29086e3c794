#include "Gateway/GatewayRequest.h"

#include "Quarantine/RequestFingerprint.h"
#include <Poco/String.h>
#include <algorithm>

namespace Toucan {

/// Time in which reports of ended targets reach the other nodes: a hop to a relay, one to the other relays and the
/// answer to their followers.
constexpr Milliseconds terminationSharingTime { 60 };

void GatewayRequest::setAdmission(QuarantineList::Decision const& decision)
{
    using Admission = QuarantineList::Admission;
    if (decision.admission == Admission::RequestCanary)
        this->ledger.restrict();
    bool const isRouteCanary = decision.admission == Admission::RouteCanary && this->route.isScattered();
    this->isCanary = decision.admission == Admission::RequestCanary || isRouteCanary;
}

void GatewayRequest::sendCanary()
{
    this->canaryPart.reset();
    std::vector<size_t> unsent;
    for (size_t index = 0; index < this->parts.size(); ++index) {
        if (this->parts[index].state == Part::State::Waiting && this->parts[index].attempts.empty())
            unsent.push_back(index);
    }
    while (!unsent.empty()) {
        auto const position = static_cast<size_t>(this->context.hooks.random() * static_cast<double>(unsent.size()));
        auto const index = unsent[std::min(position, unsent.size() - 1)];
        std::erase(unsent, index);
        if (!this->send(index, AttemptReason::First)) {
            this->failPart(index);
            continue;
        }
        this->canaryPart = index;
        this->ledger.beginCanary();
        this->context.metrics.count("canaries");
        this->context.log.line("canary",
            { { "request", this->requestId }, { "route", this->route.name }, { "service", this->parts[index].service },
                { "target", this->parts[index].attempts.back().target->registration().id },
                { "why", this->ledger.isRestricted() ? "request" : "route" } });
        return;
    }
}

void GatewayRequest::continueAfterCanary()
{
    if (!this->canaryPart || this->finished)
        return;
    auto const state = this->parts[*this->canaryPart].state;
    if (state == Part::State::Succeeded) {
        this->canaryPart.reset();
        this->ledger.endCanary();
        this->sendUnsentParts();
    } else if (state == Part::State::Missing && !this->ledger.isExhausted()) {
        this->sendCanary();
    }
}

uint64_t GatewayRequest::ownFingerprint()
{
    if (!this->fingerprint)
        this->fingerprint = fingerprintOf({ this->request.head.getMethod(), this->request.head.get("Host", ""),
            this->request.head.getURI(), *this->body });
    return *this->fingerprint;
}

void GatewayRequest::awaitVerdict(size_t partIndex, size_t attemptIndex)
{
    ++this->pendingVerdicts;
    auto const target = this->parts[partIndex].attempts[attemptIndex].target;
    auto const& registration = target->registration();
    bool const stopIsPlanned = target->isDraining() || target->isLeaving() || target->isReplaced();
    this->context.verdicts.onBroken({ registration.id, registration.address, registration.incarnation, stopIsPlanned },
        [self = this->shared_from_this(), partIndex, attemptIndex, target, isFirst = true](
            TerminationVerdict verdict) mutable {
            auto const name = std::string(toString(verdict));
            self->context.metrics.count("verdicts_" + Poco::replace(name, "-", "_"));
            self->context.log.line("termination-verdict",
                { { "request", self->requestId }, { "target", target->registration().id }, { "verdict", name } });
            if (verdict == TerminationVerdict::Terminated)
                self->onTerminated(partIndex, *target, self->pendingVerdicts > (isFirst ? 1U : 0U));
            if (std::exchange(isFirst, false))
                self->onVerdict({ partIndex, attemptIndex });
            else if (!self->finished)
                self->answerIfDecided();
        });
}

void GatewayRequest::onVerdict(BrokenAttempt broken)
{
    --this->pendingVerdicts;
    this->brokenAttempts.push_back(broken);
    // Another verdict may forbid what this one still allows.
    if (this->pendingVerdicts > 0 && !this->ledger.isExhausted())
        return;
    for (auto const [part, attempt] : std::exchange(this->brokenAttempts, {})) {
        if (!this->finished && this->parts[part].state == Part::State::Waiting)
            this->onFailure(part, attempt, AttemptOutcome::Unknown, {});
    }
    this->continueAfterCanary();
    this->answerIfDecided();
}

void GatewayRequest::onTerminated(size_t partIndex, GatewayTarget const& target, bool othersBroke)
{
    this->ledger.onTerminated(othersBroke);
    auto const now = this->now();
    auto const& registration = target.registration();
    auto const fingerprint = this->ownFingerprint();
    TerminationReport const report { fingerprint, terminatedTargetHash(registration.id, registration.incarnation),
        routeHash(this->route.name), false, this->canaryPart && !this->ledger.isRestricted() };
    this->context.log.line("target-terminated",
        { { "request", this->requestId }, { "route", this->route.name }, { "service", this->parts[partIndex].service },
            { "target", registration.id }, { "incarnation", std::to_string(registration.incarnation) },
            { "fingerprint", fingerprintText(fingerprint) },
            { "in_request", std::to_string(this->ledger.terminated()) } },
        DecisionLog::Delivery::Always);
    if (this->context.quarantine.onReport(report, now, now)
        && this->context.mechanisms.isEnabled(Mechanism::SharedObservations))
        this->context.outbox.add(observationOf(report, {}));
    if (this->ledger.isExhausted())
        this->endAllParts();
}

void GatewayRequest::endAllParts()
{
    bool const mayCancel = this->route.repeatability == Repeatability::Idempotent;
    for (size_t index = 0; index < this->parts.size(); ++index) {
        auto& part = this->parts[index];
        for (auto& attempt : part.attempts) {
            if (attempt.running && (mayCancel || !attempt.sent)) {
                this->cancelAttempt(attempt, GatewayTarget::Result::Abandoned);
                this->context.metrics.count("attempts_cancelled_after_terminations");
            }
        }
        if (!this->finished && part.state == Part::State::Waiting && part.runningAttempts() == 0) {
            // A cancelled attempt may have run.
            part.runs += part.sentAttempts > 0 ? 1 : 0;
            this->failPart(index);
        }
    }
}

bool GatewayRequest::isSharingTerminations()
{
    if (this->ledger.terminated() == 0 || !this->context.mechanisms.isEnabled(Mechanism::SharedObservations))
        return false;
    auto const now = this->now();
    if (!this->failureAt) {
        this->failureAt = std::min(now + terminationSharingTime, this->deadline);
        this->context.hooks.schedule(*this->failureAt, [self = this->shared_from_this()] { self->answerIfDecided(); });
    }
    return now < *this->failureAt;
}

void GatewayRequest::clearFingerprint()
{
    auto const now = this->now();
    if (this->ledger.terminated() > 0 || !this->context.quarantine.isActive(now)
        || !this->context.quarantine.contains(this->ownFingerprint()))
        return;
    TerminationReport const report { this->ownFingerprint(), 0, routeHash(this->route.name), true };
    this->context.quarantine.onReport(report, now, now);
    this->context.metrics.count("quarantine_cleared");
    this->context.log.line("quarantine-cleared",
        { { "request", this->requestId }, { "fingerprint", fingerprintText(this->ownFingerprint()) } });
    if (this->context.mechanisms.isEnabled(Mechanism::SharedObservations))
        this->context.outbox.add(observationOf(report, {}));
}

} // namespace Toucan
