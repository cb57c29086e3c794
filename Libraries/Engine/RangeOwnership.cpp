#include "Engine/RangeOwnership.h"

#include <algorithm>
#include <utility>

namespace Toucan {

/// Milliseconds from the current time to the end of a claimed or extended interval.
static constexpr uint64_t intervalLength = 30000;
static constexpr Milliseconds extensionPeriod { 5000 };
/// Each further claimant in the claim order claims this many milliseconds later, so that claims do not race.
static constexpr uint64_t claimDelayPerRank = 2000;
/// Without a read-back in this time the compare-and-swap is repeated, which is safe and returns the current record.
static constexpr Milliseconds readBackTimeout { 2000 };
/// A write without an answer for this long counts as one with an unknown outcome.
static constexpr Milliseconds writeTimeout { 10000 };
/// Time before a range that no other node claimed is returned again.
static constexpr Milliseconds returnBackOff { 60000 };

RangeOwnership::RangeOwnership(uint32_t range, std::string nodeName, uint64_t incarnation)
    : range(range)
    , nodeName(std::move(nodeName))
    , incarnation(incarnation)
{
}

bool RangeOwnership::isRecordOwner() const
{
    return this->record && this->record->owner == this->nodeName && this->record->incarnation == this->incarnation;
}

bool RangeOwnership::onRecord(OwnershipRecord const& next)
{
    if (this->record && next.revision < this->record->revision)
        return false;
    auto const changed = !this->record || next.revision > this->record->revision;
    this->record = next;
    // A read-back of an unchanged record leaves the old, smaller interval in force.
    this->outcomeUnknown = false;
    if (changed && this->isRecordOwner())
        this->applyOwnRecord(next);
    return changed;
}

void RangeOwnership::applyOwnRecord(OwnershipRecord const& own)
{
    if (this->intervals.empty() || this->intervals.back().from != own.from)
        this->intervals.push_back({ own.from, own.until });
    this->endReturn(own);
    auto& interval = this->intervals.back();
    interval.until = std::max(interval.until, own.until);
    if (this->releasedUntil)
        interval.until = std::min(interval.until, *this->releasedUntil);
}

/// Ends the return of the range when the store holds a later `until` at a revision above returnRevision: every proposed
/// release expected an older revision, so none of them can still take effect.
void RangeOwnership::endReturn(OwnershipRecord const& own)
{
    if (!this->returnRevision || own.revision <= *this->returnRevision || own.until <= *this->releasedUntil)
        return;
    this->returnRevision.reset();
    this->releasedUntil.reset();
}

void RangeOwnership::onWriteResult(
    KeyOwner::WriteResult result, std::optional<OwnershipRecord> const& current, Milliseconds now)
{
    auto const finished = std::exchange(this->pending, std::nullopt);
    auto const accepted = result == KeyOwner::WriteResult::Accepted;
    if (accepted && finished)
        this->lastExtended = finished->proposed;
    if (current) {
        this->onRecord(*current);
        this->outcomeUnknown = false;
        return;
    }
    if (accepted && finished && !this->answersMayBeStale)
        this->applyOwnRecord(finished->next);
    // Without the record its revision is unknown, so the next write has to wait for a read-back.
    this->outcomeUnknown = true;
    this->retryAt = now + readBackTimeout;
}

std::optional<RangeOwnership::Proposal> RangeOwnership::nextWrite(Conditions const& conditions)
{
    if (this->pending && conditions.now - this->pending->proposed > writeTimeout) {
        this->pending.reset();
        this->answersMayBeStale = true;
        this->outcomeUnknown = true;
        this->retryAt = conditions.now;
    }
    if (conditions.nodeStopping)
        this->returnRevision.reset();
    if (this->pending || (this->outcomeUnknown && conditions.now < this->retryAt))
        return std::nullopt;
    auto proposal = !this->isRecordOwner() ? this->claim(conditions)
        : conditions.nodeStopping          ? this->release(conditions)
                                           : this->returnOrExtend(conditions);
    if (!proposal)
        return std::nullopt;
    this->outcomeUnknown = false;
    if (this->returnRevision && proposal->kind == Proposal::Kind::Extend)
        this->keepUntil = conditions.now + returnBackOff;
    if (proposal->kind == Proposal::Kind::Release) {
        if (!conditions.nodeStopping)
            this->returnRevision = proposal->expectedRevision;
        // The write may take effect at any time from now on, so the smaller bound is in force at once.
        this->releasedUntil = std::min(this->releasedUntil.value_or(proposal->next.until), proposal->next.until);
        if (!this->intervals.empty())
            this->intervals.back().until = std::min(this->intervals.back().until, *this->releasedUntil);
    }
    this->pending = proposal;
    return proposal;
}

RangeOwnership::Proposal RangeOwnership::createProposal(
    Proposal::Kind kind, uint64_t from, uint64_t until, Milliseconds now) const
{
    auto const expectedRevision = this->record ? this->record->revision : 0;
    return { kind, { this->range, this->nodeName, this->incarnation, from, until, 0 }, expectedRevision, now };
}

std::optional<RangeOwnership::Proposal> RangeOwnership::claim(Conditions const& conditions) const
{
    if (conditions.nodeStopping)
        return std::nullopt;
    bool const early
        = this->record ? conditions.wallClock < this->record->until : conditions.now < conditions.claimsAllowedSince;
    if (early)
        return std::nullopt;
    auto const rank = conditions.rank();
    if (!rank)
        return std::nullopt;
    auto const delay = *rank * claimDelayPerRank;
    if (!this->record) {
        auto const allowed = conditions.claimsAllowedSince + Milliseconds { static_cast<double>(delay) };
        if (conditions.now < allowed)
            return std::nullopt;
        // The owner of a deleted record may have accepted older keys, so the interval starts at the current time.
        return this->createProposal(
            Proposal::Kind::Claim, conditions.wallClock, conditions.wallClock + intervalLength, conditions.now);
    }
    auto const from = this->record->until;
    if (conditions.wallClock < from + delay)
        return std::nullopt;
    return this->createProposal(Proposal::Kind::Claim, from, conditions.wallClock + intervalLength, conditions.now);
}

std::optional<RangeOwnership::Proposal> RangeOwnership::extend(Conditions const& conditions) const
{
    auto const until = conditions.wallClock + intervalLength;
    if (conditions.now - this->lastExtended < extensionPeriod || until <= this->record->until)
        return std::nullopt;
    return this->createProposal(Proposal::Kind::Extend, this->record->from, until, conditions.now);
}

std::optional<RangeOwnership::Proposal> RangeOwnership::returnOrExtend(Conditions const& conditions) const
{
    if (this->returnRevision && this->record->until <= *this->releasedUntil) {
        // The range is released in the store; this node extends it again when its rank's claim delay has passed.
        auto const delay = conditions.rank().value_or(0) * claimDelayPerRank;
        if (conditions.wallClock < this->record->until + delay)
            return std::nullopt;
        return this->createProposal(
            Proposal::Kind::Extend, this->record->from, conditions.wallClock + intervalLength, conditions.now);
    }
    if (this->returnRevision || (conditions.mayReturnRange && conditions.now >= this->keepUntil)) {
        if (auto proposal = this->release(conditions))
            return proposal;
    }
    return this->extend(conditions);
}

std::optional<RangeOwnership::Proposal> RangeOwnership::release(Conditions const& conditions) const
{
    auto const until = std::max({ this->decidedBelow, conditions.wallClock, this->record->from });
    if (conditions.hasRunningCommands || until >= this->record->until)
        return std::nullopt;
    if (this->releasedUntil && this->record->until <= *this->releasedUntil)
        return std::nullopt;
    return this->createProposal(Proposal::Kind::Release, this->record->from,
        std::min(until, this->releasedUntil.value_or(until)), conditions.now);
}

void RangeOwnership::recordDecision(uint64_t keyTime)
{
    this->decidedBelow = std::max(this->decidedBelow, keyTime + 1);
}

bool RangeOwnership::owns(uint64_t keyTime) const
{
    return std::ranges::any_of(this->intervals, [keyTime](auto const& interval) { return interval.contains(keyTime); });
}

bool RangeOwnership::isReleased(uint64_t wallClock) const
{
    if (this->hasUnresolvedWrite())
        return false;
    if (!this->isRecordOwner() || this->record->until <= wallClock)
        return true;
    return this->releasedUntil && this->record->until <= *this->releasedUntil;
}

void RangeOwnership::dropIntervalsBelow(uint64_t time)
{
    // The newest interval stays, because the record may still extend it.
    while (this->intervals.size() > 1 && this->intervals.front().until <= time)
        this->intervals.erase(this->intervals.begin());
}

} // namespace Toucan
