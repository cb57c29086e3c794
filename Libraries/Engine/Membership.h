#pragma once

#include "Base/Clock.h"
#include "Configuration/VmEntry.h"

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Toucan {

enum class PeerState {
    Unknown,
    Alive,
    Suspect,
    Dead,
    Leaving,
};

struct Peer {
    std::string name;
    /// IP address and port of the peer listener.
    std::string address;
    std::string failureDomain;
    uint64_t incarnation { 0 };
    PeerState state { PeerState::Unknown };
};

/// Tracks the liveness of the other nodes by probes, the VM list and received frames. As in SWIM, one random peer is
/// probed in each interval, through other nodes when it does not answer directly. Has no I/O; not thread-safe.
class Membership {
public:
    struct Hooks {
        /// Sends a direct probe, or requests an indirect one from `via` when `via` is not empty.
        std::function<void(std::string const& peer, std::string const& via, uint64_t probeNumber)> sendProbe;
        /// Called on each change of a peer's state or reachability.
        std::function<void(Peer const&)> stateChanged;
        std::function<double()> random;
    };

    Membership(Hooks hooks, Peer self);
    ~Membership();

    /// Addresses from the settings, used until the VM list or a digest arrives.
    void seed(std::vector<Peer> const& peers, Milliseconds now);
    void onVmList(std::vector<VmEntry> const& list, Milliseconds now);
    /// A frame from the peer itself; frames of a lower incarnation than the known one are ignored.
    void onPeerMessage(Peer const& peer, Milliseconds now);
    /// A member entry in another node's digest; entries of a lower incarnation are ignored.
    void onDigestEntry(Peer const& peer, Milliseconds now);
    void onProbeAnswer(std::string const& peer, uint64_t probeNumber, Milliseconds now);
    void onConnectionLost(std::string const& peer, Milliseconds now);
    /// Sets this node's own state, as find() returns it, to leaving. Sends nothing.
    void markSelfLeaving(Milliseconds now);
    /// Whether the peer is alive or suspect and its connection works; true for this node itself.
    bool usable(std::string const& name) const;
    /// Null when the name is unknown.
    Peer const* find(std::string const& name) const;
    std::vector<Peer> peers() const;
    /// Up to `count` distinct usable peers, chosen at random; supplemented by unknown ones when there are too few.
    std::vector<std::string> randomPeers(size_t count) const;
    /// Up to `limit` entries to send in a digest: half are the most recently changed members, half random others.
    std::vector<Peer> digestEntries(size_t limit) const;
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
