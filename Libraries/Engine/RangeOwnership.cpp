#include "Engine/RangeOwnership.h"

#include <algorithm>
#include <utility>

namespace Toucan {

static constexpr uint64_t intervalLength = 30000;
static constexpr Milliseconds extensionPeriod { 5000 };
/// Each further candidate claims this much later, so that candidates do not race.
static constexpr uint64_t claimPausePerRank = 2000;
/// Without a read-back in this time the same compare-and-swap is tried again, which is safe and shows the record.
static constexpr Milliseconds uncertainPause { 2000 };
static constexpr Milliseconds writeTimeout { 10000 };
static constexpr Milliseconds handBackPause { 60000 };

RangeOwnership::RangeOwnership(uint32_t range, std::string nodeName, uint64_t incarnation)
    : range(range)
    , nodeName(std::move(nodeName))
    , incarnation(incarnation)
{
}

bool RangeOwnership::isMine() const
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
    this->uncertain = false;
    if (changed && this->isMine())
        this->adopt(next);
    return changed;
}

void RangeOwnership::adopt(OwnershipRecord const& own)
{
    if (this->intervals.empty() || this->intervals.back().from != own.from)
        this->intervals.push_back({ own.from, own.until });
    this->endHandBack(own);
    auto& interval = this->intervals.back();
    interval.until = std::max(interval.until, own.until);
    if (this->releasedUntil)
        interval.until = std::min(interval.until, *this->releasedUntil);
}

/// A larger bound at a revision after the one that every proposed give-up expected shows that none of them can take
/// effect any more.
void RangeOwnership::endHandBack(OwnershipRecord const& own)
{
    if (!this->handBackRevision || own.revision <= *this->handBackRevision || own.until <= *this->releasedUntil)
        return;
    this->handBackRevision.reset();
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
        this->uncertain = false;
        return;
    }
    if (accepted && finished && !this->answersMayBeOld)
        this->adopt(finished->next);
    // Without the record its revision is unknown, so the next write has to wait for a read-back.
    this->uncertain = true;
    this->retryAt = now + uncertainPause;
}

std::optional<RangeOwnership::Proposal> RangeOwnership::nextWrite(Situation const& situation)
{
    if (this->pending && situation.now - this->pending->proposed > writeTimeout) {
        this->pending.reset();
        this->answersMayBeOld = true;
        this->uncertain = true;
        this->retryAt = situation.now;
    }
    if (situation.nodeStopping)
        this->handBackRevision.reset();
    if (this->pending || (this->uncertain && situation.now < this->retryAt))
        return std::nullopt;
    auto proposal = !this->isMine() ? this->claim(situation)
        : situation.nodeStopping    ? this->release(situation)
                                    : this->handBackOrExtend(situation);
    if (!proposal)
        return std::nullopt;
    this->uncertain = false;
    if (this->handBackRevision && proposal->kind == Proposal::Kind::Extend)
        this->nextHandBack = situation.now + handBackPause;
    if (proposal->kind == Proposal::Kind::Release) {
        if (!situation.nodeStopping)
            this->handBackRevision = proposal->expectedRevision;
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

std::optional<RangeOwnership::Proposal> RangeOwnership::claim(Situation const& situation) const
{
    if (situation.nodeStopping)
        return std::nullopt;
    bool const early
        = this->record ? situation.wallClock < this->record->until : situation.now < situation.claimsAllowedSince;
    if (early)
        return std::nullopt;
    auto const rank = situation.rank();
    if (!rank)
        return std::nullopt;
    auto const pause = *rank * claimPausePerRank;
    if (!this->record) {
        auto const allowed = situation.claimsAllowedSince + Milliseconds { static_cast<double>(pause) };
        if (situation.now < allowed)
            return std::nullopt;
        // An owner of a deleted record may have decided about older keys.
        return this->createProposal(
            Proposal::Kind::Claim, situation.wallClock, situation.wallClock + intervalLength, situation.now);
    }
    auto const from = this->record->until;
    if (situation.wallClock < from + pause)
        return std::nullopt;
    return this->createProposal(Proposal::Kind::Claim, from, situation.wallClock + intervalLength, situation.now);
}

std::optional<RangeOwnership::Proposal> RangeOwnership::extend(Situation const& situation) const
{
    auto const until = situation.wallClock + intervalLength;
    if (situation.now - this->lastExtended < extensionPeriod || until <= this->record->until)
        return std::nullopt;
    return this->createProposal(Proposal::Kind::Extend, this->record->from, until, situation.now);
}

std::optional<RangeOwnership::Proposal> RangeOwnership::handBackOrExtend(Situation const& situation) const
{
    if (this->handBackRevision && this->record->until <= *this->releasedUntil) {
        // The range is given up in the store; it is taken back as another candidate of this rank would claim it.
        auto const pause = situation.rank().value_or(0) * claimPausePerRank;
        if (situation.wallClock < this->record->until + pause)
            return std::nullopt;
        return this->createProposal(
            Proposal::Kind::Extend, this->record->from, situation.wallClock + intervalLength, situation.now);
    }
    if (this->handBackRevision || (situation.mayHandBack && situation.now >= this->nextHandBack)) {
        if (auto proposal = this->release(situation))
            return proposal;
    }
    return this->extend(situation);
}

std::optional<RangeOwnership::Proposal> RangeOwnership::release(Situation const& situation) const
{
    auto const until = std::max({ this->decidedBelow, situation.wallClock, this->record->from });
    if (situation.hasRunningCommands || until >= this->record->until)
        return std::nullopt;
    if (this->releasedUntil && this->record->until <= *this->releasedUntil)
        return std::nullopt;
    return this->createProposal(Proposal::Kind::Release, this->record->from,
        std::min(until, this->releasedUntil.value_or(until)), situation.now);
}

void RangeOwnership::noteDecided(uint64_t keyTime) { this->decidedBelow = std::max(this->decidedBelow, keyTime + 1); }

bool RangeOwnership::owns(uint64_t keyTime) const
{
    return std::ranges::any_of(this->intervals, [keyTime](auto const& interval) { return interval.contains(keyTime); });
}

bool RangeOwnership::isGivenUp(uint64_t wallClock) const
{
    if (this->isUnsettled())
        return false;
    if (!this->isMine() || this->record->until <= wallClock)
        return true;
    return this->releasedUntil && this->record->until <= *this->releasedUntil;
}

void RangeOwnership::forgetIntervalsBelow(uint64_t time)
{
    // The newest interval stays, because the record may still extend it.
    while (this->intervals.size() > 1 && this->intervals.front().until <= time)
        this->intervals.erase(this->intervals.begin());
}

} // namespace Toucan
