#pragma once

#include "Base/Clock.h"

#include <optional>

namespace Toucan {

/// Tells an outage of the registry, in which the entries of live targets may lapse, from a loss of this node's own path
/// to it, in which they don't. A node that loses its path knows nothing of the registry meanwhile; the contact of other
/// nodes shows whether it answered. Without their evidence a loss counts as an outage: to lose all targets whose
/// entries lapsed is worse than to use a removed target for the grace period.
class RegistryContact {
public:
    /// A time for which the registry has answered another node without a failed call.
    struct Span {
        Milliseconds from;
        Milliseconds until;
    };
    enum class Verdict {
        Unchanged,
        /// The registry may have been away since the last contact.
        Outage,
        /// The registry has answered another node for the whole time of what was taken for an outage.
        Refuted,
    };

    /// A call of this node failed.
    void onFailed(Milliseconds now) { this->failedAt = now; }
    /// A call of this node was answered.
    Verdict onAnswered(Milliseconds now);
    /// Another node states its contact, and when it believes an outage ended.
    Verdict onSpan(Span span, std::optional<Milliseconds> itsOutageEndedAt = {});
    /// The registry was restored from a copy, which no other node's contact refutes.
    void onRestored(Milliseconds now) { this->restoredAt = now; }
    /// Whether removals are to be deferred: an outage or a restoration was less than the grace period ago.
    bool isInGrace(Milliseconds now) const
    {
        auto const ended = this->outageEndedAt();
        return ended && now - *ended < grace;
    }

    /// Time after the end of an outage in which live targets register again.
    static constexpr Milliseconds grace { 2200 };

    /// End of the last outage that was not refuted, or the last restoration.
    std::optional<Milliseconds> outageEndedAt() const;
    /// Time since which the registry has answered this node or others without a gap; empty before the first contact.
    std::optional<Milliseconds> since() const
    {
        return this->contact ? std::optional(this->contact->from) : std::nullopt;
    }
    /// Last such answer; empty before the first contact.
    std::optional<Milliseconds> last() const
    {
        return this->contact ? std::optional(this->contact->until) : std::nullopt;
    }

private:
    struct Outage {
        /// Last contact before it.
        Milliseconds from;
        Milliseconds endedAt;
        /// Time since which there was contact before it.
        Milliseconds contactBefore;
    };

    Verdict beginOutage(Milliseconds endedAt, Milliseconds until);

    std::optional<Span> contact;
    /// Time of the last failed call, while no later contact is known.
    std::optional<Milliseconds> failedAt;
    std::optional<Outage> outage;
    std::optional<Milliseconds> restoredAt;
};

} // namespace Toucan
