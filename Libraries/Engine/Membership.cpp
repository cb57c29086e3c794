#include "Engine/Membership.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <utility>

namespace Toucan {

static constexpr Milliseconds probeInterval = 500_ms;
/// A peer that does not answer a direct probe in this time is suspect and is probed through other nodes.
static constexpr Milliseconds probeTimeout = 300_ms;
static constexpr Milliseconds suspectTimeout = 1000_ms;
/// Answers to older probes are ignored, because the peer's state may have changed since.
static constexpr Milliseconds probeLifetime = 2000_ms;
/// Number of nodes through which a suspect peer is probed.
static constexpr size_t indirectProbes = 2;
/// Probes of peers that are new, lost their connection or were reported in a digest are sent in bounded groups, so that
/// a failed domain or a long VM list causes no burst of probes in a large fleet.
static constexpr size_t queuedProbesPerGroup = 4;
static constexpr Milliseconds queuedProbesInterval = 100_ms;
/// The VM list does not override frames that the peer itself sent within this time.
static constexpr Milliseconds directContactWindow = 5000_ms;
/// Dead and leaving peers that are in no list are removed after this time.
static constexpr Milliseconds deadPeerRetention = 600000_ms;
/// Largest number of peers; further ones are ignored.
static constexpr size_t peerLimit = 4096;

class Membership::Implementation {
public:
    Implementation(Hooks hooks, Peer self)
        : self(std::move(self))
        , hooks(std::move(hooks))
    {
    }

    struct Member {
        Peer peer;
        Milliseconds lastContact { std::numeric_limits<double>::lowest() };
        Milliseconds lastProbe { std::numeric_limits<double>::lowest() };
        /// Time at which the peer became suspect, or was first reported as such.
        Milliseconds suspectSince;
        /// Time of the first digest entry that reports the peer as suspect or dead; reset once this node's own probe of
        /// the peer was answered or timed out.
        std::optional<Milliseconds> reportedSuspectSince;
        bool reportedDead { false };
        /// Time since which direct probes have been unanswered, although other nodes may still reach the peer.
        std::optional<Milliseconds> unansweredSince;
        /// The connection broke or direct probes stay unanswered, and no frame has arrived since.
        bool unreachable { false };
        /// Listed in the settings or in the last VM list.
        bool listed { false };
        /// The peer announced that it is leaving; only a newer incarnation of it revokes this.
        bool announcedLeaving { false };
        bool probeQueued { false };
        /// Orders members by their last change.
        uint64_t changeNumber { 0 };
    };

    void seed(std::vector<Peer> const& peers)
    {
        for (auto const& peer : peers) {
            if (Member* const member = this->addMember(peer))
                member->listed = true;
        }
    }

    void onVmList(std::vector<VmEntry> const& list, Milliseconds now)
    {
        for (auto& [name, member] : this->members)
            member.listed = false;
        for (auto const& entry : list) {
            Member* const member = this->addMember({ entry.name, entry.address, entry.failureDomain, 0, {} });
            if (!member)
                continue;
            member->listed = true;
            if (now - member->lastContact > directContactWindow)
                this->applyVmEntry(*member, entry, now);
        }
    }

    void onPeerMessage(Peer const& sender, Milliseconds now)
    {
        Member* const member = this->addMember(sender);
        if (!member || (sender.incarnation && sender.incarnation < member->peer.incarnation))
            return;
        this->updateIdentity(*member, sender);
        member->lastContact = now;
        member->unansweredSince.reset();
        member->reportedSuspectSince.reset();
        bool const reachableAgain = member->unreachable;
        member->unreachable = false;
        if (sender.state == PeerState::Leaving)
            member->announcedLeaving = true;
        PeerState const state = member->announcedLeaving ? PeerState::Leaving : PeerState::Alive;
        if (!this->setState(*member, state) && reachableAgain)
            this->reportChange(*member);
    }

    void onDigestEntry(Peer const& entry, Milliseconds now)
    {
        bool const known = this->members.contains(entry.name);
        Member* const member = this->addMember(entry);
        if (!member || entry.incarnation < member->peer.incarnation)
            return;
        bool const newer = !known || entry.incarnation > member->peer.incarnation;
        this->updateIdentity(*member, entry);
        switch (entry.state) {
        case PeerState::Leaving:
            member->announcedLeaving = true;
            this->setState(*member, PeerState::Leaving);
            break;
        case PeerState::Alive:
            this->onAliveEntry(*member, newer, now);
            break;
        case PeerState::Suspect:
        case PeerState::Dead:
            this->onSuspectEntry(*member, entry.state, now);
            break;
        case PeerState::Unknown:
            break;
        }
    }

    void onProbeAnswer(std::string const& name, uint64_t probeNumber, Milliseconds now)
    {
        auto const probe = this->probes.find(probeNumber);
        if (probe == this->probes.end() || probe->second.peer != name || now - probe->second.sent > probeLifetime)
            return;
        this->probes.erase(probe);
        auto const found = this->members.find(name);
        if (found == this->members.end())
            return;
        found->second.reportedSuspectSince.reset();
        if (found->second.peer.state != PeerState::Leaving)
            this->setState(found->second, PeerState::Alive);
    }

    void onConnectionLost(std::string const& name, Milliseconds now)
    {
        auto const found = this->members.find(name);
        if (found == this->members.end())
            return;
        this->queueProbeIfDue(found->second, now);
        if (std::exchange(found->second.unreachable, true))
            return;
        this->reportChange(found->second);
    }

    bool usable(std::string const& name) const
    {
        if (name == this->self.name)
            return true;
        auto const found = this->members.find(name);
        return found != this->members.end() && usable(found->second);
    }

    Peer const* find(std::string const& name) const
    {
        if (name == this->self.name)
            return &this->self;
        auto const found = this->members.find(name);
        return found == this->members.end() ? nullptr : &found->second.peer;
    }

    std::vector<Peer> peers() const
    {
        std::vector<Peer> result;
        result.reserve(this->members.size());
        for (auto const& [name, member] : this->members)
            result.emplace_back(member.peer);
        return result;
    }

    std::vector<std::string> randomPeers(size_t count) const
    {
        std::vector<std::string> names = this->chooseUsablePeers(count, {});
        if (names.size() == count)
            return names;
        std::vector<std::string> unknown;
        for (auto const& [name, member] : this->members) {
            if (member.peer.state == PeerState::Unknown)
                unknown.emplace_back(name);
        }
        this->keepRandom(unknown, count - names.size());
        names.insert(names.end(), unknown.begin(), unknown.end());
        return names;
    }

    std::vector<Peer> digestEntries(size_t limit) const
    {
        std::vector<Member const*> known;
        for (auto const& [name, member] : this->members) {
            if (member.peer.state != PeerState::Unknown)
                known.emplace_back(&member);
        }
        std::sort(known.begin(), known.end(),
            [](Member const* left, Member const* right) { return left->changeNumber > right->changeNumber; });
        // The second half is a random selection of the rest, so that a new node also receives members that never
        // change.
        size_t const recent = std::min(known.size(), (limit + 1) / 2);
        std::vector<Member const*> rest(known.begin() + static_cast<std::ptrdiff_t>(recent), known.end());
        this->keepRandom(rest, limit - recent);
        known.resize(recent);
        known.insert(known.end(), rest.begin(), rest.end());
        std::vector<Peer> entries;
        entries.reserve(known.size());
        for (Member const* member : known)
            entries.emplace_back(member->peer);
        return entries;
    }

    void advance(Milliseconds now)
    {
        this->probeRandomPeer(now);
        this->sendQueuedProbes(now);
        this->handleProbeTimeouts(now);
        this->updateMemberStates(now);
    }

    Milliseconds nextWakeup() const
    {
        Milliseconds next = this->nextProbe;
        if (!this->queuedProbes.empty())
            next = std::min(next, this->nextQueuedProbes);
        for (auto const& [number, probe] : this->probes) {
            if (!probe.timeoutHandled)
                next = std::min(next, probe.sent + probeTimeout);
        }
        for (auto const& [name, member] : this->members) {
            if (member.peer.state == PeerState::Suspect)
                next = std::min(next, member.suspectSince + suspectTimeout);
        }
        return next;
    }

    Peer self;

private:
    struct Probe {
        std::string peer;
        Milliseconds sent;
        /// The time for a direct answer is over, and the timeout was handled.
        bool timeoutHandled { false };
    };

    static bool usable(Member const& member)
    {
        return !member.unreachable
            && (member.peer.state == PeerState::Alive || member.peer.state == PeerState::Suspect);
    }

    /// Finds the member or adds it as unknown; null for this node itself, for an empty name and beyond the limit.
    Member* addMember(Peer const& peer)
    {
        if (peer.name.empty() || peer.name == this->self.name)
            return nullptr;
        if (auto const found = this->members.find(peer.name); found != this->members.end())
            return &found->second;
        if (this->members.size() >= peerLimit)
            return nullptr;
        Member& member = this->members[peer.name];
        member.peer = peer;
        member.peer.state = PeerState::Unknown;
        this->queueProbe(member);
        return &member;
    }

    void updateIdentity(Member& member, Peer const& source)
    {
        if (source.incarnation > member.peer.incarnation) {
            member.peer.incarnation = source.incarnation;
            member.announcedLeaving = false;
        }
        if (!source.address.empty())
            member.peer.address = source.address;
        if (!source.failureDomain.empty())
            member.peer.failureDomain = source.failureDomain;
    }

    void applyVmEntry(Member& member, VmEntry const& entry, Milliseconds now)
    {
        bool const moved = member.peer.address != entry.address;
        member.peer.address = entry.address;
        member.peer.failureDomain = entry.failureDomain;
        if (entry.state == VmEntry::State::Leaving)
            this->setState(member, PeerState::Leaving);
        else if (moved)
            this->queueProbeIfDue(member, now);
    }

    void onAliveEntry(Member& member, bool newer, Milliseconds now)
    {
        PeerState const state = member.peer.state;
        if (newer || state == PeerState::Unknown)
            this->setState(member, PeerState::Alive);
        else if (state == PeerState::Dead)
            this->queueProbeIfDue(member, now);
    }

    /// A digest entry alone never makes a peer suspect: a node that is partitioned from a domain would otherwise spread
    /// that the entire domain is dead. The entry makes this node probe the peer; when that probe fails, the suspicion
    /// counts from the time of the entry.
    void onSuspectEntry(Member& member, PeerState state, Milliseconds now)
    {
        if (member.peer.state == PeerState::Unknown) {
            this->queueProbeIfDue(member, now);
            return;
        }
        if (member.peer.state != PeerState::Alive)
            return;
        member.reportedDead = state == PeerState::Dead;
        if (!member.reportedSuspectSince)
            member.reportedSuspectSince = now;
        this->queueProbeIfDue(member, now);
    }

    /// Returns whether the state changed.
    bool setState(Member& member, PeerState state)
    {
        if (member.peer.state == state)
            return false;
        member.peer.state = state;
        this->reportChange(member);
        return true;
    }

    void reportChange(Member& member)
    {
        member.changeNumber = ++this->changes;
        this->hooks.stateChanged(member.peer);
    }

    void queueProbeIfDue(Member& member, Milliseconds now)
    {
        // A peer whose connection breaks repeatedly is not probed more often than others.
        if (now - member.lastProbe >= probeInterval)
            this->queueProbe(member);
    }

    void queueProbe(Member& member)
    {
        if (std::exchange(member.probeQueued, true))
            return;
        this->queuedProbes.emplace_back(member.peer.name);
    }

    void probeRandomPeer(Milliseconds now)
    {
        if (now < this->nextProbe)
            return;
        this->nextProbe = now + probeInterval;
        std::vector<std::string> names;
        names.reserve(this->members.size());
        // Dead peers are probed too, because after a partition one side has to resume contact.
        for (auto const& [name, member] : this->members)
            names.emplace_back(name);
        if (!names.empty())
            this->probe(this->members.at(names[this->randomIndex(names.size())]), now);
    }

    void sendQueuedProbes(Milliseconds now)
    {
        if (this->queuedProbes.empty() || now < this->nextQueuedProbes)
            return;
        this->nextQueuedProbes = now + queuedProbesInterval;
        for (size_t sent = 0; sent < queuedProbesPerGroup && !this->queuedProbes.empty();) {
            auto const found = this->members.find(this->queuedProbes.front());
            this->queuedProbes.pop_front();
            if (found == this->members.end())
                continue;
            found->second.probeQueued = false;
            this->probe(found->second, now);
            ++sent;
        }
    }

    void probe(Member& member, Milliseconds now)
    {
        member.lastProbe = now;
        uint64_t const number = ++this->probeNumber;
        this->probes.emplace(number, Probe { member.peer.name, now });
        this->hooks.sendProbe(member.peer.name, {}, number);
    }

    void handleProbeTimeouts(Milliseconds now)
    {
        std::vector<uint64_t> unanswered;
        for (auto probe = this->probes.begin(); probe != this->probes.end();) {
            auto const current = probe++;
            if (now - current->second.sent > probeLifetime)
                this->probes.erase(current);
            else if (!current->second.timeoutHandled && now - current->second.sent >= probeTimeout)
                unanswered.emplace_back(current->first);
        }
        for (uint64_t const number : unanswered) {
            Probe& probe = this->probes.at(number);
            probe.timeoutHandled = true;
            if (auto const found = this->members.find(probe.peer); found != this->members.end())
                this->onProbeTimeout(found->second, probe, number, now);
        }
    }

    void onProbeTimeout(Member& member, Probe const& probe, uint64_t number, Milliseconds now)
    {
        // Any frame that arrived after the probe was sent counts as an answer.
        if (member.lastContact >= probe.sent)
            return;
        if (!member.unansweredSince)
            member.unansweredSince = now;
        std::optional<Milliseconds> const reported = std::exchange(member.reportedSuspectSince, std::nullopt);
        if (member.peer.state == PeerState::Alive) {
            member.suspectSince = reported.value_or(now);
            this->setState(member, reported && member.reportedDead ? PeerState::Dead : PeerState::Suspect);
        }
        if (member.peer.state == PeerState::Suspect) {
            for (auto const& via : this->chooseUsablePeers(indirectProbes, member.peer.name))
                this->hooks.sendProbe(member.peer.name, via, number);
        }
    }

    void updateMemberStates(Milliseconds now)
    {
        for (auto entry = this->members.begin(); entry != this->members.end();) {
            auto const current = entry++;
            Member& member = current->second;
            if (member.peer.state == PeerState::Suspect && now - member.suspectSince >= suspectTimeout)
                this->setState(member, PeerState::Dead);
            if (member.unansweredSince && now - *member.unansweredSince >= suspectTimeout
                && !std::exchange(member.unreachable, true) && member.peer.state == PeerState::Alive)
                this->reportChange(member);
            bool const departed = member.peer.state == PeerState::Dead || member.peer.state == PeerState::Leaving;
            if (departed && !member.listed && now - member.lastContact > deadPeerRetention
                && now - member.lastProbe > deadPeerRetention)
                this->members.erase(current);
        }
    }

    size_t randomIndex(size_t size) const
    {
        return std::min(size - 1, static_cast<size_t>(this->hooks.random() * static_cast<double>(size)));
    }

    /// Keeps `count` random items (Fisher-Yates), or all when there are fewer.
    template <typename T> void keepRandom(std::vector<T>& items, size_t count) const
    {
        count = std::min(count, items.size());
        for (size_t index = 0; index < count; ++index)
            std::swap(items[index], items[index + this->randomIndex(items.size() - index)]);
        items.resize(count);
    }

    std::vector<std::string> chooseUsablePeers(size_t count, std::string const& except) const
    {
        std::vector<std::string> names;
        for (auto const& [name, member] : this->members) {
            if (name != except && usable(member))
                names.emplace_back(name);
        }
        this->keepRandom(names, count);
        return names;
    }

    Hooks hooks;
    std::map<std::string, Member> members;
    std::map<uint64_t, Probe> probes;
    /// Names of peers to probe soon.
    std::deque<std::string> queuedProbes;
    Milliseconds nextProbe;
    Milliseconds nextQueuedProbes;
    uint64_t probeNumber { 0 };
    uint64_t changes { 0 };
};

Membership::Membership(Hooks hooks, Peer self)
    : implementation(std::make_unique<Implementation>(std::move(hooks), std::move(self)))
{
}

Membership::~Membership() = default;

void Membership::seed(std::vector<Peer> const& peers, Milliseconds) { this->implementation->seed(peers); }

void Membership::onVmList(std::vector<VmEntry> const& list, Milliseconds now)
{
    this->implementation->onVmList(list, now);
}

void Membership::onPeerMessage(Peer const& peer, Milliseconds now) { this->implementation->onPeerMessage(peer, now); }

void Membership::onDigestEntry(Peer const& peer, Milliseconds now) { this->implementation->onDigestEntry(peer, now); }

void Membership::onProbeAnswer(std::string const& peer, uint64_t probeNumber, Milliseconds now)
{
    this->implementation->onProbeAnswer(peer, probeNumber, now);
}

void Membership::onConnectionLost(std::string const& peer, Milliseconds now)
{
    this->implementation->onConnectionLost(peer, now);
}

void Membership::markSelfLeaving(Milliseconds) { this->implementation->self.state = PeerState::Leaving; }

bool Membership::usable(std::string const& name) const { return this->implementation->usable(name); }

Peer const* Membership::find(std::string const& name) const { return this->implementation->find(name); }

std::vector<Peer> Membership::peers() const { return this->implementation->peers(); }

std::vector<std::string> Membership::randomPeers(size_t count) const
{
    return this->implementation->randomPeers(count);
}

std::vector<Peer> Membership::digestEntries(size_t limit) const { return this->implementation->digestEntries(limit); }

void Membership::advance(Milliseconds now) { this->implementation->advance(now); }

Milliseconds Membership::nextWakeup() const { return this->implementation->nextWakeup(); }

} // namespace Toucan
