#include "Engine/Membership.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <utility>

namespace Toucan {

static constexpr Milliseconds probeInterval = 500_ms;
/// A peer that does not answer a direct probe in this time is suspect and is probed through others.
static constexpr Milliseconds probeTimeout = 300_ms;
static constexpr Milliseconds suspectTime = 1000_ms;
/// Answers to older probes say too little about the present.
static constexpr Milliseconds probeLifetime = 2000_ms;
static constexpr size_t indirectProbes = 2;
/// Checks of new, broken or rumoured peers are sent in bounded groups, so that a failed domain or a long list of VMs
/// costs no more at once in a large fleet.
static constexpr size_t checksPerGroup = 4;
static constexpr Milliseconds checkInterval = 100_ms;
/// The list of VMs overrules nothing that was heard from the peer itself within this time.
static constexpr Milliseconds heardWindow = 5000_ms;
/// Dead peers that no list names are forgotten after this time.
static constexpr Milliseconds forgetTime = 600000_ms;
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
        Milliseconds lastHeard { std::numeric_limits<double>::lowest() };
        Milliseconds lastProbe { std::numeric_limits<double>::lowest() };
        /// Time of the evidence against a suspect.
        Milliseconds suspectSince;
        /// Time of the first rumour that a peer is suspect, until its own probe is decided.
        std::optional<Milliseconds> rumouredSince;
        bool rumouredDead { false };
        /// Since then direct probes are unanswered, although others may still reach the peer.
        std::optional<Milliseconds> silentSince;
        /// The connection broke, or only others reach the peer; no frame came since.
        bool unreachable { false };
        /// Listed in the settings or in the last list of VMs.
        bool listed { false };
        /// Left by its own word, which an incarnation does not take back.
        bool leftByItself { false };
        bool checkQueued { false };
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
            if (now - member->lastHeard > heardWindow)
                this->applyListEntry(*member, entry, now);
        }
    }

    void onPeerMessage(Peer const& heard, Milliseconds now)
    {
        Member* const member = this->addMember(heard);
        if (!member || (heard.incarnation && heard.incarnation < member->peer.incarnation))
            return;
        this->takeIdentity(*member, heard);
        member->lastHeard = now;
        member->silentSince.reset();
        member->rumouredSince.reset();
        bool const reachableAgain = member->unreachable;
        member->unreachable = false;
        if (heard.state == PeerState::Leaving)
            member->leftByItself = true;
        PeerState const state = member->leftByItself ? PeerState::Leaving : PeerState::Alive;
        if (!this->setState(*member, state) && reachableAgain)
            this->reportChange(*member);
    }

    void onGossip(Peer const& gossip, Milliseconds now)
    {
        bool const known = this->members.contains(gossip.name);
        Member* const member = this->addMember(gossip);
        if (!member || gossip.incarnation < member->peer.incarnation)
            return;
        bool const newer = !known || gossip.incarnation > member->peer.incarnation;
        this->takeIdentity(*member, gossip);
        switch (gossip.state) {
        case PeerState::Leaving:
            member->leftByItself = true;
            this->setState(*member, PeerState::Leaving);
            break;
        case PeerState::Alive:
            this->onAliveRumor(*member, newer, now);
            break;
        case PeerState::Suspect:
        case PeerState::Dead:
            this->onSuspectRumor(*member, gossip.state, now);
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
        found->second.rumouredSince.reset();
        if (found->second.peer.state != PeerState::Leaving)
            this->setState(found->second, PeerState::Alive);
    }

    void onConnectionBroken(std::string const& name, Milliseconds now)
    {
        auto const found = this->members.find(name);
        if (found == this->members.end())
            return;
        this->queueCheck(found->second, now);
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
        std::vector<std::string> names = this->chooseUsable(count, {});
        if (names.size() == count)
            return names;
        std::vector<std::string> unknown;
        for (auto const& [name, member] : this->members) {
            if (member.peer.state == PeerState::Unknown)
                unknown.emplace_back(name);
        }
        this->chooseFirst(unknown, count - names.size());
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
        // The second half is a random choice of the rest, so that a new node learns of members that never change.
        size_t const recent = std::min(known.size(), (limit + 1) / 2);
        std::vector<Member const*> rest(known.begin() + static_cast<std::ptrdiff_t>(recent), known.end());
        this->chooseFirst(rest, limit - recent);
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
        this->sendChecks(now);
        this->judgeProbes(now);
        this->judgeMembers(now);
    }

    Milliseconds nextWakeup() const
    {
        Milliseconds next = this->nextProbe;
        if (!this->checks.empty())
            next = std::min(next, this->nextChecks);
        for (auto const& [number, probe] : this->probes) {
            if (!probe.judged)
                next = std::min(next, probe.sent + probeTimeout);
        }
        for (auto const& [name, member] : this->members) {
            if (member.peer.state == PeerState::Suspect)
                next = std::min(next, member.suspectSince + suspectTime);
        }
        return next;
    }

    Peer self;

private:
    struct Probe {
        std::string peer;
        Milliseconds sent;
        /// The time for a direct answer is over.
        bool judged { false };
    };

    static bool usable(Member const& member)
    {
        return !member.unreachable
            && (member.peer.state == PeerState::Alive || member.peer.state == PeerState::Suspect);
    }

    /// Finds the member or adds it as unknown; null for this node itself, nameless ones and beyond the limit.
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
        this->enqueue(member);
        return &member;
    }

    void takeIdentity(Member& member, Peer const& source)
    {
        if (source.incarnation > member.peer.incarnation) {
            member.peer.incarnation = source.incarnation;
            member.leftByItself = false;
        }
        if (!source.address.empty())
            member.peer.address = source.address;
        if (!source.failureDomain.empty())
            member.peer.failureDomain = source.failureDomain;
    }

    void applyListEntry(Member& member, VmEntry const& entry, Milliseconds now)
    {
        bool const moved = member.peer.address != entry.address;
        member.peer.address = entry.address;
        member.peer.failureDomain = entry.failureDomain;
        if (entry.state == VmEntry::State::Leaving)
            this->setState(member, PeerState::Leaving);
        else if (moved)
            this->queueCheck(member, now);
    }

    void onAliveRumor(Member& member, bool newer, Milliseconds now)
    {
        PeerState const state = member.peer.state;
        if (newer || state == PeerState::Unknown)
            this->setState(member, PeerState::Alive);
        else if (state == PeerState::Dead)
            this->queueCheck(member, now);
    }

    /// A rumour never makes a peer suspect: whoever is cut off from a domain would spread that all of it is dead. It
    /// makes this node probe the peer, and dates back the suspicion when that probe fails.
    void onSuspectRumor(Member& member, PeerState state, Milliseconds now)
    {
        if (member.peer.state == PeerState::Unknown) {
            this->queueCheck(member, now);
            return;
        }
        if (member.peer.state != PeerState::Alive)
            return;
        member.rumouredDead = state == PeerState::Dead;
        if (!member.rumouredSince)
            member.rumouredSince = now;
        this->queueCheck(member, now);
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

    void queueCheck(Member& member, Milliseconds now)
    {
        // A peer whose connection breaks again and again is not probed more often than others.
        if (now - member.lastProbe >= probeInterval)
            this->enqueue(member);
    }

    void enqueue(Member& member)
    {
        if (std::exchange(member.checkQueued, true))
            return;
        this->checks.emplace_back(member.peer.name);
    }

    void probeRandomPeer(Milliseconds now)
    {
        if (now < this->nextProbe)
            return;
        this->nextProbe = now + probeInterval;
        std::vector<std::string> names;
        names.reserve(this->members.size());
        // Dead peers too: after a partition somebody has to speak first.
        for (auto const& [name, member] : this->members)
            names.emplace_back(name);
        if (!names.empty())
            this->probe(this->members.at(names[this->randomIndex(names.size())]), now);
    }

    void sendChecks(Milliseconds now)
    {
        if (this->checks.empty() || now < this->nextChecks)
            return;
        this->nextChecks = now + checkInterval;
        for (size_t sent = 0; sent < checksPerGroup && !this->checks.empty();) {
            auto const found = this->members.find(this->checks.front());
            this->checks.pop_front();
            if (found == this->members.end())
                continue;
            found->second.checkQueued = false;
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

    void judgeProbes(Milliseconds now)
    {
        std::vector<uint64_t> unanswered;
        for (auto probe = this->probes.begin(); probe != this->probes.end();) {
            auto const current = probe++;
            if (now - current->second.sent > probeLifetime)
                this->probes.erase(current);
            else if (!current->second.judged && now - current->second.sent >= probeTimeout)
                unanswered.emplace_back(current->first);
        }
        for (uint64_t const number : unanswered) {
            Probe& probe = this->probes.at(number);
            probe.judged = true;
            if (auto const found = this->members.find(probe.peer); found != this->members.end())
                this->judgeProbe(found->second, probe, number, now);
        }
    }

    void judgeProbe(Member& member, Probe const& probe, uint64_t number, Milliseconds now)
    {
        // Another frame that came after the probe was sent is as good as an answer.
        if (member.lastHeard >= probe.sent)
            return;
        if (!member.silentSince)
            member.silentSince = now;
        std::optional<Milliseconds> const rumoured = std::exchange(member.rumouredSince, std::nullopt);
        if (member.peer.state == PeerState::Alive) {
            member.suspectSince = rumoured.value_or(now);
            this->setState(member, rumoured && member.rumouredDead ? PeerState::Dead : PeerState::Suspect);
        }
        if (member.peer.state == PeerState::Suspect) {
            for (auto const& via : this->chooseUsable(indirectProbes, member.peer.name))
                this->hooks.sendProbe(member.peer.name, via, number);
        }
    }

    void judgeMembers(Milliseconds now)
    {
        for (auto entry = this->members.begin(); entry != this->members.end();) {
            auto const current = entry++;
            Member& member = current->second;
            if (member.peer.state == PeerState::Suspect && now - member.suspectSince >= suspectTime)
                this->setState(member, PeerState::Dead);
            if (member.silentSince && now - *member.silentSince >= suspectTime
                && !std::exchange(member.unreachable, true) && member.peer.state == PeerState::Alive)
                this->reportChange(member);
            bool const gone = member.peer.state == PeerState::Dead || member.peer.state == PeerState::Leaving;
            if (gone && !member.listed && now - member.lastHeard > forgetTime && now - member.lastProbe > forgetTime)
                this->members.erase(current);
        }
    }

    size_t randomIndex(size_t size) const
    {
        return std::min(size - 1, static_cast<size_t>(this->hooks.random() * static_cast<double>(size)));
    }

    /// Leaves `count` random items (Fisher-Yates), or all when there are fewer.
    template <typename T> void chooseFirst(std::vector<T>& items, size_t count) const
    {
        count = std::min(count, items.size());
        for (size_t index = 0; index < count; ++index)
            std::swap(items[index], items[index + this->randomIndex(items.size() - index)]);
        items.resize(count);
    }

    std::vector<std::string> chooseUsable(size_t count, std::string const& except) const
    {
        std::vector<std::string> names;
        for (auto const& [name, member] : this->members) {
            if (name != except && usable(member))
                names.emplace_back(name);
        }
        this->chooseFirst(names, count);
        return names;
    }

    Hooks hooks;
    std::map<std::string, Member> members;
    std::map<uint64_t, Probe> probes;
    /// Names of peers to probe soon.
    std::deque<std::string> checks;
    Milliseconds nextProbe;
    Milliseconds nextChecks;
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

void Membership::onGossip(Peer const& peer, Milliseconds now) { this->implementation->onGossip(peer, now); }

void Membership::onProbeAnswer(std::string const& peer, uint64_t probeNumber, Milliseconds now)
{
    this->implementation->onProbeAnswer(peer, probeNumber, now);
}

void Membership::onConnectionBroken(std::string const& peer, Milliseconds now)
{
    this->implementation->onConnectionBroken(peer, now);
}

void Membership::announceLeaving(Milliseconds) { this->implementation->self.state = PeerState::Leaving; }

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
