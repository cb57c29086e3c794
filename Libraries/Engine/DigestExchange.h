#pragma once

#include "Engine/KeyOwner.h"
#include "Engine/Membership.h"

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace Toucan {

/// Encodes and handles the digests that nodes exchange: configuration version, a bounded selection of members, targets
/// that the VM list reports as leaving, and a hash of the ownership table. The table itself is sent only when the
/// hashes differ, because owners change rarely. Has no I/O; not thread-safe.
class DigestExchange {
public:
    struct Hooks {
        std::function<Peer()> self;
        std::function<uint64_t()> configurationVersion;
        std::function<std::vector<Peer>(size_t limit)> memberEntries;
        std::function<std::map<uint32_t, OwnershipRecord> const&()> ownership;
        /// Called for each member entry of a received digest.
        std::function<void(Peer const&)> memberReceived;
        /// Called with the configuration version of a received digest.
        std::function<void(std::string const& peer, uint64_t version)> peerVersion;
        /// Called for each ownership record of a received digest.
        std::function<void(OwnershipRecord const&)> record;
        /// Called for each target that a received digest or this node's VM list reports as leaving.
        std::function<void(std::string const& target)> targetLeaving;
        std::function<void(std::string const& peer, Json::Value&&)> send;
    };

    explicit DigestExchange(Hooks hooks);

    void send(std::string const& peer, Milliseconds now);
    /// Sends one ownership record to a peer at once, after a claim or a release; extensions need no message.
    void sendRecord(std::string const& peer, OwnershipRecord const& record);
    void receive(std::string const& peer, Json::Value const& frame, Milliseconds now);
    /// Sets the names of the targets that the VM list reports as leaving; called on nodes that read the list. Targets
    /// that are not among them are no longer sent.
    void setLeavingTargets(std::vector<std::string> const& names, Milliseconds now);

private:
    uint64_t ownershipHash() const;
    Json::Value ownershipTable() const;
    void readLeavingTargets(Json::Value const& entries, Milliseconds now);

    Hooks hooks;
    /// Time at which a node that reads the VM list last found the target leaving, by target name.
    std::map<std::string, Milliseconds> leaving;
};

} // namespace Toucan
