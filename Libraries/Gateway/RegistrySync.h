#pragma once

#include "FleetStart/ExtraAttemptAllowance.h"
#include "FleetStart/StoredNodeCount.h"
#include "Gateway/Gateway.h"
#include "Gateway/RegistryContact.h"
#include "Gateway/RegistryEvent.h"
#include "Gateway/RegistryRelay.h"
#include "Succession/RelaySuccession.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// Synchronises the gateway's configuration and targets with the platform's registry: reads all entries once, then
/// watches for changes. Every call to the registry is billed, so only a few nodes (the relays) watch it; the others
/// follow a relay, and watch the registry themselves as soon as no relay is up to date. During an outage of the
/// registry the gateway continues with its last state.
class RegistrySync {
public:
    enum class Freshness {
        Latest,
        /// May be seconds old; costs less.
        Stale,
    };
    struct Hooks {
        /// Reads all entries of the registry.
        std::function<void(Freshness, std::function<void(RegistryReply&&)>)> list;
        /// Waits up to `wait` for changes after the position's revision; the reply is empty when there are none. Its
        /// era may be a later one: the changes are then not those after the position.
        std::function<void(RegistryPosition, Milliseconds wait, std::function<void(RegistryReply&&)>)> watch;
        /// Requests changes and observations from a relay.
        std::function<void(std::string const& relay, RelayRequest, std::function<void(RelayUpdate&&)>)> follow;
        /// Requests all entries from a relay.
        std::function<void(std::string const& relay, std::function<void(RelayUpdate&&)>)> copy;
        /// Writes the number of nodes to the registry; `done` gets the reason of a failure, empty for a success. May be
        /// empty.
        std::function<void(uint32_t nodes, std::function<void(std::string const& failure)> done)> writeNodes {};
        /// Writes the roster of relays if its entry is of the revision, 0 when there must be none; `done` as above. May
        /// be empty.
        std::function<void(
            uint64_t expectedRevision, RelayRoster const& roster, std::function<void(std::string const& failure)> done)>
            writeRoster {};
        /// The registry holds this roster of relays, none when it is empty, as of the revision of its entry. May be
        /// empty.
        std::function<void(std::optional<RelayRoster> const&, uint64_t revision)> rosterRead {};
        /// Term of the roster in force, 0 without one. May be empty.
        std::function<uint64_t()> rosterTerm {};
        /// Time of the clock that includes suspension; may be empty.
        std::function<Milliseconds()> bootTime {};
        /// The registry has confirmed the state that this node now holds, as of that time of the clock that includes
        /// suspension. May be empty.
        std::function<void(Milliseconds)> confirmed {};
        /// Age of the last such time, for followers; empty without one or without a roster. May be empty.
        std::function<std::optional<Milliseconds>()> confirmedAge {};
    };

    struct Topology {
        /// Addresses of the relays.
        std::vector<std::string> relays;
        /// This node's own address among them; empty when it is no relay.
        std::string ownRelay {};
        /// This node's address for other nodes; empty when it can be no relay.
        std::string ownAddress {};
        /// Number of nodes that is assumed until the relays have counted them.
        uint32_t assumedNodes { 1 };
    };

    RegistrySync(Gateway& gateway, Topology topology, Hooks hooks);

    void start();
    /// Whether all entries have been read once.
    bool isLoaded() const { return this->loaded; }
    /// Whether this node's state has been confirmed as recent by the registry or a relay. The first read may be seconds
    /// old and name removed targets and routes. When no confirmation arrives within a second, the node serves with the
    /// unconfirmed state.
    bool isReady() const;
    RegistryRelay& relay() { return this->registryRelay; }
    /// Address of the relay that received the last request for changes; empty before the first request.
    std::string const& followedRelay() const { return this->lastFollowedRelay; }
    /// Number of nodes of the deployment that the relays have counted; until then the greater of the stored number and
    /// an estimate that assumes that every relay has as many followers as the one with the most, which is 0 without
    /// relays.
    uint32_t estimatedNodes() const;
    /// The number of nodes that was counted or stored; 0 when neither is known.
    ExtraAttemptAllowance::Nodes knownNodes() const;
    /// Whether the state is recent enough for other nodes to follow this one.
    bool isFollowable() const;
    /// Time as of which the registry, or a relay with recent contact to it, has confirmed this node's state.
    Milliseconds confirmedAt() const { return std::max(this->lastContactAt, this->followedAt); }
    /// Sets the number of nodes that share the rate limits of targets: the counted one, or while none was counted the
    /// greater of estimatedNodes() and the assumed one.
    void updateNodes(std::optional<uint32_t> counted);
    /// Writes the counted number of nodes to the registry when StoredNodeCount decides so.
    void storeNodes(std::optional<uint32_t> counted, bool isFirstRelay);
    /// Replaces the relays. A node that becomes a relay reads all entries first; one that is no longer a relay follows
    /// another one.
    void setRelays(std::vector<std::string> const& addresses);
    /// Writes a change of the roster of relays.
    void writeRoster(RelaySuccession::Write const& write);
    /// Whether a relay has confirmed this node's state recently.
    bool followsRelay() const;
    /// Replaces Topology::assumedNodes.
    void setAssumedNodes(uint32_t count);
    void setFollowers(uint32_t count) { this->followers = count; }
    /// Applies other nodes' observations to the targets.
    void applyObservations(std::span<TargetObservation const> observations);
    /// The newest requests under which targets ended, at most `limit`.
    std::vector<QuarantineList::DatedReport> knownTerminations(size_t limit) const
    {
        return this->context.quarantine.reports(limit);
    }
    /// Sets the fields that describe this node: the age of its state, recent outage, failure domain and followers.
    void addRelayStatus(RelayUpdate& update) const;

private:
    struct Relay {
        std::string address;
        std::string failureDomain;
        /// No request is sent before this time, because the relay did not answer or was behind this node.
        Milliseconds blockedUntil;
        uint32_t followers { 0 };
        uint64_t lastObservation { 0 };
        /// Age of the relay's state at its last answer.
        Milliseconds staleness;
        /// Time of its last answer, by the clock that includes suspension.
        Milliseconds answeredAt;
    };

    void list(Freshness freshness);
    void listLatest() { this->list(Freshness::Latest); }
    void copyFromRelay();
    void copyFrom(std::shared_ptr<Relay> const& relay);
    /// Requests the configurations of the other relays after the first read of a registry that was restored: it may
    /// show an older one than they have accepted.
    void requestNewerConfiguration();
    RelayRequest requestTo(Relay const& relay, Milliseconds wait) const;
    /// Whether the update holds what this node lacks: recent changes of its era that reach its position.
    bool isUsable(RelayUpdate const& update) const;
    /// Whether the reply was sent before the registry was restored and is to be dropped.
    bool isOfEarlierEra(RegistryReply const& reply) const;
    /// Waits for changes at a relay, or at the registry when no relay is available.
    void waitForChanges();
    void watch();
    void follow(std::shared_ptr<Relay> const& relay);
    /// Requests changes from another relay, without waiting for new ones, after the registry has failed this relay: it
    /// may refuse this node alone. The registry itself is called again with the usual delay.
    void pollRelay();
    void onPolled(std::shared_ptr<Relay> const& relay, RelayUpdate&& update, Milliseconds askedAt);
    std::shared_ptr<Relay> chooseRelay();
    /// `askedAt`, here and below: time of the clock that includes suspension at which the call was sent.
    void onListed(Freshness freshness, RegistryReply&& reply, Milliseconds askedAt);
    void onCopied(Relay& relay, RelayUpdate&& update);
    void installCopy(std::string const& source, RelayUpdate&& update);
    void onWatched(RegistryReply&& reply, Milliseconds askedAt);
    void onFollowed(Relay& relay, RelayUpdate&& update, Milliseconds askedAt);
    void applySnapshot(std::vector<RegistryEvent>&& events, RegistryPosition read);
    void applyChanges(std::vector<RegistryEvent>&& events, RegistryPosition reached);
    void onFailure(std::string const& reason, std::string_view call);
    void onConnected();
    /// The registry has answered a call of this node.
    void onAnswered();
    /// Applies what a relay states of its contact to the registry.
    void applyContactOf(RelayUpdate const& update);
    /// `endedBefore`: end of the outage that was assumed before.
    void applyVerdict(
        RegistryContact::Verdict verdict, std::optional<Milliseconds> endedBefore, std::string_view evidence);
    /// Asks the other relays whether the registry has answered them during what this relay takes for an outage.
    void verifyOutage();
    void retryLater(void (RegistrySync::*call)());
    void logUnusable(UnusableEntry const& entry);
    void applyNodeCount(std::string const& key, NodeCountPut const& put);
    void applyRoster(RegistryEvent const& event, RosterPut const& put);
    void onAnsweredBy(Relay& relay);
    Milliseconds bootTime() const;
    /// `at`: time at which the call was sent.
    void onConfirmed(Milliseconds at);
    void scheduleExpiry();
    TargetDirectory::Removal removal() const;
    Milliseconds keepUntil() const;
    Milliseconds now() const { return this->context.hooks.now(); }

    Gateway& gateway;
    GatewayContext& context;
    /// The other relays. A call to one that is replaced meanwhile keeps it.
    std::vector<std::shared_ptr<Relay>> relays;
    std::string ownAddress;
    /// Start of this node, or last answer of a relay that is none any more, by the clock that includes suspension.
    Milliseconds settledSince;
    bool isRelay;
    uint32_t followers { 0 };
    size_t relayCount;
    uint32_t assumedNodes;
    std::optional<uint32_t> countedNodes;
    StoredNodeCount storedNodes;
    std::string lastFollowedRelay;
    Hooks hooks;
    RegistryRelay registryRelay;
    RegistryPosition position;
    /// Era of the last watch that showed a restoration, so that a read of an earlier era is not followed by the next
    /// watch at once; 0 after such a read.
    uint64_t seenEra { 0 };
    /// Whether the registry holds a roster of relays.
    bool hasRoster { false };
    bool loaded { false };
    Milliseconds loadedAt;
    /// Whether the state has been confirmed since the first read, which may be seconds old.
    bool confirmed { false };
    /// The most recent copy among those that were too old to be used at once, kept while other relays are queried.
    std::optional<RelayUpdate> staleCopy;
    /// Address of the relay that sent it.
    std::string staleCopySource;
    bool connected { false };
    uint32_t failures { 0 };
    /// Time as of which this node, or the relay that it copied, last received an answer of the registry itself.
    Milliseconds lastContactAt;
    /// Time as of which a relay confirmed the state that this node follows.
    Milliseconds followedAt;
    RegistryContact contact;
};

} // namespace Toucan
