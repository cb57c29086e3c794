#include "Succession/RelaySuccession.h"

#include "Succession/IssuingShare.h"

#include <algorithm>
#include <utility>

namespace Toucan {

/// Time between two questions to a relay: of a node that has found none, and of another relay.
constexpr Milliseconds probePeriod { 500 };
constexpr Milliseconds relayProbePeriod { 1000 };
/// A node that no relay answers claims the slots after this time and number of questions. A paused node counts no
/// silence for the time of its pause, because it asked nothing.
constexpr Milliseconds silenceOfAll { 2500 };
constexpr uint32_t probesOfAll = 5;
/// Other relays replace one after this time: a node that is stopped and started again keeps its slots.
constexpr Milliseconds silenceOfOne { 10000 };
constexpr uint32_t probesOfOne = 8;
/// Nodes that no relay answers begin at different times, so that most find the claim of the first.
constexpr Milliseconds longestClaimDelay { 1000 };
/// Time in which a node that a claim names can cancel it; a change reaches a node that watches the registry at once.
constexpr Milliseconds objectionTime { 1500 };
/// The claim of a node that ended before it finished is replaced after this time.
constexpr Milliseconds claimLifetime { 5000 };
/// Calls to the registry are billed, and a refused or lost write shows within this time.
constexpr Milliseconds writePause { 1000 };
/// A follower asks at least each second.
constexpr Milliseconds followerLifetime { 3000 };
constexpr size_t maximumFollowers = 64;

RelaySuccession::RelaySuccession(Options options)
    : options(std::move(options))
{
}

std::vector<std::string> RelaySuccession::relays() const
{
    return this->current ? this->current->holders() : RelayRoster { 0, this->options.configured }.holders();
}

bool RelaySuccession::isRelay() const
{
    return this->current ? this->current->isHolder(this->options.own)
                         : RelayRoster { 0, this->options.configured }.isHolder(this->options.own);
}

bool RelaySuccession::isFirstRunning() const
{
    for (auto const& relay : this->relays()) {
        if (relay == this->options.own)
            return true;
        if (!this->silences.contains(relay))
            return false;
    }
    return false;
}

bool RelaySuccession::onRoster(std::optional<RelayRoster> const& next, uint64_t nextRevision, Milliseconds now)
{
    this->revision = next ? nextRevision : 0;
    this->mustRestore = this->current && (!next || next->term < this->current->term);
    if (!next || this->mustRestore || (this->current && next->term == this->current->term))
        return false;
    auto const before = this->relays();
    this->current = next;
    this->changedAt = now;
    this->claimAt.reset();
    this->nextWrite = now;
    auto const after = this->relays();
    std::erase_if(this->silences,
        [&after](auto const& entry) { return std::find(after.begin(), after.end(), entry.first) == after.end(); });
    return before != after;
}

std::vector<std::string> RelaySuccession::takeProbes(Conditions const& conditions, Milliseconds now)
{
    bool const isNeeded = this->current && !this->options.own.empty() && (this->isRelay() || !conditions.followsRelay);
    if (!isNeeded) {
        this->silences.clear();
        return {};
    }
    if (now < this->nextProbes)
        return {};
    this->nextProbes = now + (this->isRelay() ? relayProbePeriod : probePeriod);
    auto relays = this->relays();
    std::erase(relays, this->options.own);
    return relays;
}

void RelaySuccession::onUnanswered(std::string const& relay, Milliseconds now)
{
    auto const [found, isNew] = this->silences.try_emplace(relay, Silence { now, 0 });
    ++found->second.probes;
}

void RelaySuccession::onFollower(std::string const& address, Milliseconds now)
{
    if (this->followers.size() >= maximumFollowers)
        std::erase_if(this->followers, [now](auto const& entry) { return now - entry.second > followerLifetime; });
    if (this->followers.size() < maximumFollowers || this->followers.contains(address))
        this->followers[address] = now;
}

bool RelaySuccession::isLost(std::string const& relay, Milliseconds now) const
{
    auto const found = this->silences.find(relay);
    if (found == this->silences.end())
        return false;
    auto const [time, probes]
        = this->isRelay() ? std::pair(silenceOfOne, probesOfOne) : std::pair(silenceOfAll, probesOfAll);
    return now - found->second.since >= time && found->second.probes >= probes;
}

std::vector<std::string> RelaySuccession::lostRelays(Milliseconds now) const
{
    std::vector<std::string> lost;
    bool isAnyLeft = false;
    for (auto const& relay : this->relays()) {
        if (relay == this->options.own)
            continue;
        if (this->isLost(relay, now))
            lost.push_back(relay);
        else
            isAnyLeft = true;
    }
    // A node that is no relay replaces them only when none is left to do it.
    if (isAnyLeft && !this->isRelay())
        lost.clear();
    return lost;
}

std::optional<RelaySuccession::Write> RelaySuccession::takeWrite(Conditions const& conditions, Milliseconds now)
{
    if (this->options.own.empty() || !conditions.isConnected || now < this->nextWrite)
        return std::nullopt;
    std::optional<Write> write;
    if (!this->current)
        write = this->firstRoster(conditions, now);
    else if (this->mustRestore)
        write = this->isRelay() ? this->write(this->next(), "restored") : std::nullopt;
    else if (this->current->claim)
        write = this->decideOnClaim(conditions, now);
    if (!write && this->current && !this->mustRestore)
        write = this->claim(now);
    if (!write && this->current && !this->mustRestore && !this->current->claim && this->isRelay()
        && this->isFirstRunning())
        write = this->settle(now);
    if (!write && this->current && !this->mustRestore && !this->current->claim)
        write = this->handOver(now);
    if (write)
        this->nextWrite = now + writePause;
    return write;
}

std::optional<RelaySuccession::Write> RelaySuccession::firstRoster(Conditions const& conditions, Milliseconds now)
{
    auto const relays = this->relays();
    auto const own = std::find(relays.begin(), relays.end(), this->options.own);
    if (!conditions.hasLimits || own == relays.end())
        return std::nullopt;
    // The first relay of the list writes it; the others do when it has not.
    if (!this->neededSince)
        this->neededSince = now;
    if (now < *this->neededSince + writePause * static_cast<double>(own - relays.begin()))
        return std::nullopt;
    return this->write({ 1, this->options.configured }, "first");
}

std::optional<RelaySuccession::Write> RelaySuccession::decideOnClaim(
    Conditions const& conditions, Milliseconds now) const
{
    auto const& claim = *this->current->claim;
    auto const isNamed = [&claim](std::string const& address) {
        return std::find(claim.lost.begin(), claim.lost.end(), address) != claim.lost.end();
    };
    if (isNamed(this->options.own))
        return this->write(this->next(), "objection");
    if (claim.by != this->options.own || now < this->changedAt + objectionTime)
        return std::nullopt;
    auto const stillLost = [&](std::string const& relay) { return this->silences.contains(relay); };
    if (!std::all_of(claim.lost.begin(), claim.lost.end(), stillLost))
        return this->write(this->next(), "withdrawn");
    auto roster = this->next();
    for (size_t slot = 0; slot < roster.slots.size(); ++slot) {
        if (!isNamed(roster.slots[slot]))
            continue;
        roster.slots[slot] = this->options.own;
        roster.taken.insert(slot);
    }
    roster.nodes = std::max(roster.nodes, conditions.nodes);
    return this->write(std::move(roster), "taken over");
}

std::optional<RelaySuccession::Write> RelaySuccession::claim(Milliseconds now)
{
    auto const& known = this->current->claim;
    bool const isPending = known && (known->by == this->options.own || now < this->changedAt + claimLifetime);
    auto lost = this->lostRelays(now);
    if (lost.empty())
        this->claimAt.reset();
    if (isPending || lost.empty())
        return std::nullopt;
    if (this->isRelay() && !this->isFirstRunning())
        return std::nullopt;
    if (!this->claimAt)
        this->claimAt = now + longestClaimDelay * (this->isRelay() ? 0 : this->options.random());
    if (now < *this->claimAt)
        return std::nullopt;
    auto roster = this->next();
    roster.claim = RelayRoster::Claim { this->options.own, std::move(lost) };
    return this->write(std::move(roster), "claim");
}

std::optional<RelaySuccession::Write> RelaySuccession::settle(Milliseconds now) const
{
    constexpr auto time = IssuingShare::certainTime + IssuingShare::doubtTime;
    if (this->current->taken.empty() || now < this->changedAt + time)
        return std::nullopt;
    auto roster = this->next();
    roster.taken.clear();
    roster.nodes = 0;
    return this->write(std::move(roster), "settled");
}

std::string RelaySuccession::freeFollower(Milliseconds now) const
{
    for (auto const& [address, at] : this->followers) {
        if (now - at <= followerLifetime && !this->current->isHolder(address))
            return address;
    }
    return {};
}

std::optional<RelaySuccession::Write> RelaySuccession::fillVacancy(Milliseconds now) const
{
    // The node that vacated the slot issues nothing for it any more. Any other one can't know that.
    bool const isOwn = this->vacatedTerm == this->current->term;
    if (!isOwn && (!this->isFirstRunning() || now < this->changedAt + claimLifetime))
        return std::nullopt;
    auto roster = this->next();
    auto const follower = this->freeFollower(now);
    for (size_t slot = 0; slot < roster.slots.size(); ++slot) {
        if (!roster.slots[slot].empty())
            continue;
        roster.slots[slot] = follower.empty() ? this->options.own : follower;
        if (!isOwn)
            roster.taken.insert(slot);
        break;
    }
    return this->write(std::move(roster), "filled");
}

std::optional<RelaySuccession::Write> RelaySuccession::handOver(Milliseconds now)
{
    auto const& slots = this->current->slots;
    if (!this->isRelay() || !this->current->taken.empty() || now < this->changedAt + writePause)
        return std::nullopt;
    if (std::find(slots.begin(), slots.end(), "") != slots.end())
        return this->fillVacancy(now);
    if (std::count(slots.begin(), slots.end(), this->options.own) < 2 || this->freeFollower(now).empty())
        return std::nullopt;
    // Vacant first, so that this node has stopped issuing for the slot when the next holder begins.
    auto roster = this->next();
    *std::find(roster.slots.rbegin(), roster.slots.rend(), this->options.own) = "";
    this->vacatedTerm = roster.term;
    return this->write(std::move(roster), "handed over");
}

RelayRoster RelaySuccession::next() const
{
    auto roster = *this->current;
    ++roster.term;
    roster.claim.reset();
    return roster;
}

std::optional<RelaySuccession::Write> RelaySuccession::write(RelayRoster&& roster, std::string_view reason) const
{
    return Write { this->revision, std::move(roster), reason };
}

} // namespace Toucan
