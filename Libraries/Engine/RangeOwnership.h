#pragma once

#include "Engine/KeyOwner.h"

#include <functional>
#include <optional>
#include <vector>

namespace Toucan {

/// Key times with from <= time < until.
struct KeyInterval {
    uint64_t from { 0 };
    uint64_t until { 0 };
    bool contains(uint64_t time) const { return this->from <= time && time < this->until; }
};

/// State machine of this node for the ownership record of one key range: claims, extends and releases.
/// An interval counts as owned only after the store confirmed it, and a lost write answer never enlarges it.
class RangeOwnership {
public:
    struct Proposal {
        enum class Kind {
            Claim,
            Extend,
            Release,
        } kind { Kind::Claim };
        OwnershipRecord next;
        uint64_t expectedRevision { 0 };
        Milliseconds proposed;
    };
    /// Inputs of the choice of the next write.
    struct Conditions {
        Milliseconds now;
        uint64_t wallClock { 0 };
        /// Number of live nodes that should claim before this one; empty when this node must not claim. Called only for
        /// a range without a valid record or one that this node is returning, because counting visits all nodes of the
        /// fleet.
        std::function<std::optional<uint32_t>()> rank;
        /// Time from which claims without a known record are allowed.
        Milliseconds claimsAllowedSince;
        bool nodeStopping { false };
        bool hasRunningCommands { false };
        /// A preferred claimant, which precedes this node in the claim order, has been alive long enough to get the
        /// range, and the node's minimum time between returns of ranges has passed.
        bool mayReturnRange { false };
    };

    RangeOwnership(uint32_t range, std::string nodeName, uint64_t incarnation);

    /// Returns false unless the record is newer than the known one.
    bool onRecord(OwnershipRecord const& next);
    void onWriteResult(KeyOwner::WriteResult result, std::optional<OwnershipRecord> const& current, Milliseconds now);
    /// The write that is due now, if any; it counts as in flight until onWriteResult().
    std::optional<Proposal> nextWrite(Conditions const& conditions);
    /// Records that this node accepted or refused a key with that time; a release keeps that time in this node's
    /// interval.
    void recordDecision(uint64_t keyTime);
    /// Whether this incarnation of this node alone may accept or refuse keys with that time.
    bool owns(uint64_t keyTime) const;
    /// Whether the latest known record names this incarnation as the owner.
    bool isRecordOwner() const;
    /// True when no lease of this node delays the next owner's claim.
    bool isReleased(uint64_t wallClock) const;
    bool hasUnresolvedWrite() const { return this->pending || this->outcomeUnknown; }
    std::optional<OwnershipRecord> const& latestRecord() const { return this->record; }
    /// Whether a release was proposed. Later keys then wait for the next owner or for an extension by this node.
    bool isReleasing() const { return this->releasedUntil.has_value(); }
    void dropIntervalsBelow(uint64_t time);

private:
    std::optional<Proposal> claim(Conditions const& conditions) const;
    std::optional<Proposal> extend(Conditions const& conditions) const;
    std::optional<Proposal> release(Conditions const& conditions) const;
    std::optional<Proposal> returnOrExtend(Conditions const& conditions) const;
    void endReturn(OwnershipRecord const& own);
    Proposal createProposal(Proposal::Kind kind, uint64_t from, uint64_t until, Milliseconds now) const;
    void applyOwnRecord(OwnershipRecord const& own);

    uint32_t range;
    std::string nodeName;
    uint64_t incarnation;
    std::optional<OwnershipRecord> record;
    /// Intervals that this incarnation owns or owned, oldest first. They remain its own after another node has claimed
    /// the range.
    std::vector<KeyInterval> intervals;
    std::optional<Proposal> pending;
    /// A write may have taken effect although its answer was lost.
    bool outcomeUnknown { false };
    /// A write timed out, so a later answer may belong to it rather than to the pending one.
    bool answersMayBeStale { false };
    Milliseconds retryAt;
    Milliseconds lastExtended { -1e12 };
    /// Upper bound of the newest interval, set when a release is proposed.
    std::optional<uint64_t> releasedUntil;
    /// Highest revision that a proposed release expected. Set while the range is being returned to a preferred
    /// claimant; unlike at a stop, this node may extend the range again afterwards.
    std::optional<uint64_t> returnRevision;
    /// A range that nobody claimed and this node extended again is kept until this time, because each attempt to return
    /// it leaves a gap without an owner.
    Milliseconds keepUntil { -1e12 };
    /// One above the highest key time that this node accepted or refused; a release keeps the range up to it.
    uint64_t decidedBelow { 0 };
};

} // namespace Toucan
