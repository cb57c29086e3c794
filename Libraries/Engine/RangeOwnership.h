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

/// State machine of this node for the ownership record of one key range: claims, extends and gives up.
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
    /// What the decision to write depends on.
    struct Situation {
        Milliseconds now;
        uint64_t wallClock { 0 };
        /// Number of live nodes that should claim before this one; empty when this node must not claim. Called only for
        /// a range without a valid record, because counting walks over the fleet.
        std::function<std::optional<uint32_t>()> rank;
        /// Time since when claims without a known record are allowed.
        Milliseconds claimsAllowedSince;
        bool nodeStopping { false };
        bool hasRunningCommands { false };
        /// An earlier claimant has been alive for some time, so the range may be handed back to it.
        bool mayHandBack { false };
    };

    RangeOwnership(uint32_t range, std::string nodeName, uint64_t incarnation);

    /// Returns false when the record is older than the known one.
    bool onRecord(OwnershipRecord const& next);
    void onWriteResult(KeyOwner::WriteResult result, std::optional<OwnershipRecord> const& current, Milliseconds now);
    /// The write that is due now, if any; it stays in flight until onWriteResult().
    std::optional<Proposal> nextWrite(Situation const& situation);
    /// Remembers that this node decided about a key of that time.
    void noteDecided(uint64_t keyTime);
    /// Whether this node, and no other incarnation of any node, may decide about the key time.
    bool owns(uint64_t keyTime) const;
    /// Whether the record in the store names this incarnation.
    bool isMine() const;
    /// True when this node holds nothing that would delay a successor.
    bool isGivenUp(uint64_t wallClock) const;
    bool isUnsettled() const { return this->pending || this->uncertain; }
    std::optional<OwnershipRecord> const& known() const { return this->record; }
    /// A give-up was proposed, so keys after it are left to a successor or to a later extension.
    bool isReleasing() const { return this->releasedUntil.has_value(); }
    void forgetIntervalsBelow(uint64_t time);

private:
    std::optional<Proposal> claim(Situation const& situation) const;
    std::optional<Proposal> extend(Situation const& situation) const;
    std::optional<Proposal> release(Situation const& situation) const;
    std::optional<Proposal> handBackOrExtend(Situation const& situation) const;
    void endHandBack(OwnershipRecord const& own);
    Proposal createProposal(Proposal::Kind kind, uint64_t from, uint64_t until, Milliseconds now) const;
    void adopt(OwnershipRecord const& own);

    uint32_t range;
    std::string nodeName;
    uint64_t incarnation;
    std::optional<OwnershipRecord> record;
    /// Intervals that this incarnation owns or owned, oldest first. They stay its own after a successor took over.
    std::vector<KeyInterval> intervals;
    std::optional<Proposal> pending;
    /// A write may have taken effect although its answer was lost.
    bool uncertain { false };
    /// A write timed out, so a later answer may belong to it and not to the pending one.
    bool answersMayBeOld { false };
    Milliseconds retryAt;
    Milliseconds lastExtended { -1e12 };
    /// Bound of the interval since a give-up was proposed.
    std::optional<uint64_t> releasedUntil;
    /// Set while the give-up is a hand-back, after which this node may extend again; highest revision that a proposed
    /// give-up expected.
    std::optional<uint64_t> handBackRevision;
    /// After a range was taken back it is kept for a while, so that an absent claimant costs few gaps.
    Milliseconds nextHandBack { -1e12 };
    uint64_t decidedBelow { 0 };
};

} // namespace Toucan
