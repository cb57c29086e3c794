#pragma once

#include "Configuration/ConfigurationParts.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Toucan {

/// A configuration root with the texts of those configuration parts that the receiver lacks, from the store or a peer.
struct ConfigurationUpdate {
    ConfigurationRoot root;
    /// Content hash to text.
    std::map<std::string, std::string> parts;
};

/// Holds the configuration version in force on this node with its parts, and spreads it to peers. Installs only higher
/// versions. Has no I/O; not thread-safe.
class ConfigurationState {
public:
    struct Hooks {
        /// Called after a higher version was installed.
        std::function<void(ConfigurationPointer const&)> installed;
        /// Sends a digest to each of `count` random peers: after an installation and periodically.
        std::function<void(size_t count)> sendDigests;
        std::function<void(std::string const& peer)> sendDigest;
        /// Requests from a peer its root and those of its parts whose hashes are not in `knownHashes`.
        std::function<void(std::string const& peer, std::vector<std::string> const& knownHashes)> fetch;
        /// Requests from the control thread a read of the root and of the missing parts from the store.
        std::function<void(std::vector<std::string> const& knownHashes)> readStore;
        /// Turns this node's watch of the configuration root in the store on or off.
        std::function<void(bool watching)> setWatching;
        /// Whether the node is this one or is usable according to Membership.
        std::function<bool(std::string const& node)> isUsable;
    };

    ConfigurationState(Hooks hooks, std::string nodeName);
    ~ConfigurationState();

    uint64_t version() const;
    ConfigurationPointer const& current() const;
    void onPeerVersion(std::string const& peer, uint64_t peerVersion, Milliseconds now);
    void onUpdate(ConfigurationUpdate&& update, Milliseconds now);
    /// End of a store read; `reachable` is false when the store did not answer.
    void onStoreRead(bool reachable, Milliseconds now);
    /// Root and the parts that the requesting peer lacks; version 0 while no configuration is installed.
    ConfigurationUpdate answerFetch(std::vector<std::string> const& knownHashes) const;
    void onMembershipChanged(Milliseconds now);
    void onPeerMessage(Milliseconds now);
    /// False without a configuration, or when neither the store nor a peer answered within the isolation timeout.
    bool ready(Milliseconds now) const;
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
