#include "Gateway/RegistryContact.h"

#include <algorithm>
#include <utility>

namespace Toucan {

/// Entries lapse after several missed writes of a target, so a shorter gap between the contacts of two nodes shows
/// nothing.
constexpr Milliseconds shortestOutage { 1500 };

RegistryContact::Verdict RegistryContact::beginOutage(Milliseconds endedAt, Milliseconds until)
{
    // Evidence must also cover an earlier outage for which removals are still deferred.
    if (this->outage && endedAt - this->outage->endedAt < grace)
        this->outage->endedAt = endedAt;
    else
        this->outage = Outage { this->contact->until, endedAt, this->contact->from };
    this->contact = Span { endedAt, std::max(endedAt, until) };
    return Verdict::Outage;
}

RegistryContact::Verdict RegistryContact::onAnswered(Milliseconds now)
{
    bool const hadFailed = std::exchange(this->failedAt, std::nullopt).has_value();
    if (!this->contact) {
        this->contact = Span { now, now };
        return Verdict::Unchanged;
    }
    if (hadFailed)
        return this->beginOutage(now, now);
    this->contact->until = now;
    return Verdict::Unchanged;
}

RegistryContact::Verdict RegistryContact::onSpan(Span span, std::optional<Milliseconds> itsOutageEndedAt)
{
    if (!this->contact) {
        this->contact = span;
        if (!itsOutageEndedAt)
            return Verdict::Unchanged;
        this->outage = Outage { *itsOutageEndedAt, *itsOutageEndedAt, *itsOutageEndedAt };
        return Verdict::Outage;
    }
    if (this->outage && span.from <= this->outage->from) {
        this->contact->from = std::min(this->outage->contactBefore, span.from);
        this->contact->until = std::max(this->contact->until, span.until);
        this->outage.reset();
        return Verdict::Refuted;
    }
    if (span.from > this->contact->until + shortestOutage)
        return this->beginOutage(span.from, span.until);
    this->contact->from = std::min(this->contact->from, span.from);
    this->contact->until = std::max(this->contact->until, span.until);
    // A later answer of this node does not end the loss of its own path, which the other node's contact has covered.
    if (this->failedAt && span.until > *this->failedAt)
        this->failedAt.reset();
    return Verdict::Unchanged;
}

std::optional<Milliseconds> RegistryContact::outageEndedAt() const
{
    auto const ended = this->outage ? std::optional(this->outage->endedAt) : std::nullopt;
    // An empty optional is less than any time.
    return std::max(ended, this->restoredAt);
}

} // namespace Toucan
