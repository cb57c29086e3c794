#pragma once

#include "Gateway/Gateway.h"
#include "Gateway/RegistryEvent.h"
#include "Gateway/RegistryRelay.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// Keeps the gateway's configuration and targets in step with the platform's registry: reads everything once, then
/// follows the changes. Every call to the registry is paid for, so only a few nodes (the relays) watch it; the others
/// follow a relay, and turn to the registry themselves as soon as no relay has fresh news. During an outage the
/// gateway goes on with what it knows.
class RegistrySync {
public:
    enum class Freshness {
        Latest,
        /// May be seconds old; cheaper.
        Stale,
    };
    struct Hooks {
        /// Reads the whole registry.
        std::function<void(Freshness, std::function<void(RegistryReply&&)>)> list;
        /// Waits up to `wait` for changes after a revision; an empty reply when there are none.
        std::function<void(uint64_t revision, Milliseconds wait, std::function<void(RegistryReply&&)>)> watch;
        std::function<void(std::string const& relay, RelayQuestion, std::function<void(RelayUpdate&&)>)> follow;
        /// Asks a relay for all entries.
        std::function<void(std::string const& relay, std::function<void(RelayUpdate&&)>)> copy;
    };

    struct Topology {
        /// Addresses of the nodes that watch the registry for the others.
        std::vector<std::string> relays;
        /// The one among them that is this node's own; empty when it is no relay.
        std::string ownRelay {};
    };

    RegistrySync(Gateway& gateway, Topology topology, Hooks hooks);

    void start();
    /// Whether the registry has been read completely once.
    bool isLoaded() const { return this->loaded; }
    /// Whether what this node knows is known to be recent. A first read may be seconds old, so that it names targets
    /// that have left and routes that were withdrawn. When nobody can confirm it for a second, the node does with what
    /// it has.
    bool isReady() const;
    RegistryRelay& relay() { return this->relayed; }
    /// Address of the relay that was asked last; empty when none was.
    std::string const& followedRelay() const { return this->lastAsked; }
    /// Nodes of the deployment as far as the relays show: every relay is taken to have as many followers as the one
    /// with most. 0 without relays.
    uint32_t estimatedNodes() const;
    void setFollowers(uint32_t count) { this->followers = count; }
    /// Takes what other nodes learned of targets.
    void takeObservations(std::span<TargetObservation const> observations);
    /// Adds what followers need to know of this node's own contact with the registry.
    void describe(RelayUpdate& news) const;

private:
    struct Relay {
        std::string address;
        std::string failureDomain;
        /// Not asked before this time, because it did not answer or knew less than this node.
        Milliseconds blockedUntil;
        uint32_t followers { 0 };
        uint64_t lastObservation { 0 };
        /// Age of its news in its last answer.
        Milliseconds newsAge;
    };

    void list(Freshness freshness);
    void listLatest() { this->list(Freshness::Latest); }
    void copyFromRelay();
    /// Waits for changes, at a relay when one can be asked.
    void next();
    void watch();
    void follow(Relay& relay);
    Relay* chooseRelay();
    void onListed(Freshness freshness, RegistryReply&& reply);
    void onCopied(Relay& relay, RelayUpdate&& news);
    void installCopy(Relay const& relay, RelayUpdate&& news);
    void onWatched(RegistryReply&& reply);
    void onFollowed(Relay& relay, RelayUpdate&& news);
    void takeAll(std::vector<RegistryEvent>&& events, uint64_t revision);
    void take(std::vector<RegistryEvent>&& events, uint64_t revision);
    void onFailure(std::string const& reason, std::string_view call);
    void onConnected();
    void retryLater(void (RegistrySync::*call)());
    void logUnusable(UnusableEntry const& entry);
    void scheduleExpiry();
    TargetDirectory::Removal removal() const;
    Milliseconds keepUntil() const;
    Milliseconds now() const { return this->context.hooks.now(); }

    Gateway& gateway;
    GatewayContext& context;
    /// The other relays.
    std::vector<Relay> relays;
    bool hasFollowers;
    uint32_t followers { 0 };
    size_t relayCount;
    std::string lastAsked;
    Hooks hooks;
    RegistryRelay relayed;
    uint64_t revision { 0 };
    bool loaded { false };
    Milliseconds loadedAt;
    /// Somebody who watches the registry has told what changed since the first read.
    bool confirmed { false };
    /// The most recent of the copies that were too old to be taken at once, while other relays are asked.
    std::optional<RelayUpdate> oldCopy;
    bool connected { false };
    uint32_t failures { 0 };
    /// Last word from the registry itself.
    Milliseconds heardAt;
    /// End of the last outage of the registry as this node knows it.
    std::optional<Milliseconds> returnedAt;
};

} // namespace Toucan
