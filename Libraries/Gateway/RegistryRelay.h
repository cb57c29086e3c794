#pragma once

#include "Base/Clock.h"
#include "Gateway/RegistryEvent.h"
#include "Gateway/TargetObservation.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Toucan {

/// Registry entries or changes, and observations of targets, that a relay sends to a follower.
struct RelayUpdate {
    RegistryStatus status { RegistryStatus::Failed };
    std::vector<RegistryEvent> events;
    RegistryPosition position;
    /// Time since the sender last received an answer of the registry itself.
    Milliseconds age;
    /// Time since the end of the last outage of the registry; set only while it is recent.
    std::optional<Milliseconds> outageEnded;
    /// Time for which the registry has answered the sender, or others to its knowledge, without a gap; empty from a
    /// node of the version before.
    std::optional<Milliseconds> connectedFor {};
    std::string failureDomain;
    /// Age of the last answer of the registry to the sender, counted from the call and with the time for which the
    /// sender was suspended; set only while the registry holds a roster of relays.
    std::optional<Milliseconds> confirmedAge {};
    /// Number of nodes that follow the sender.
    uint32_t followers { 0 };
    /// Number of nodes of the deployment that the sender has counted; empty when it does not know it.
    std::optional<uint32_t> nodes;
    /// New observations of targets, and the number of the last one for the follower's next request.
    std::vector<TargetObservation> observations;
    uint64_t lastObservation { 0 };
    /// Reason of a failure, for the log.
    std::string reason;
};

/// Request of a follower to a relay (long poll): changes after a position and observations after a number. It is
/// answered as soon as there are any, or after `wait`.
struct RelayRequest {
    RegistryPosition position;
    uint64_t lastObservation { 0 };
    Milliseconds wait;
    /// Version of the configuration that the follower has in force, 0 before the first; empty when the relay's is not
    /// wanted. A restored registry may have given the follower an older one than the relay holds.
    std::optional<uint64_t> configuration {};
    /// Address of the follower for other nodes; empty while the registry holds no roster of relays.
    std::string address {};
    /// With an address: term of the roster that the follower holds, and the time since its start and since the last
    /// answer of a relay that the roster does not name, by the clock that includes suspension.
    uint64_t term { 0 };
    Milliseconds settledFor {};
};

/// The registry's entries and recent changes, held for nodes that follow this one instead of the registry.
class RegistryRelay {
public:
    using Waiter = std::function<void()>;

    /// Drops everything: this node is no relay any more.
    void clear();
    bool isEmpty() const { return this->last.revision == 0; }
    /// Replaces all entries after a complete read of the registry, except a configuration of a later version than the
    /// one that was read.
    void reset(std::span<RegistryEvent const> events, RegistryPosition position);
    /// Stores the configuration of another relay when it is of a later version.
    void keepConfiguration(RegistryEvent const& event) { this->storeEntry(event); }
    /// Appends changes of the present era, in the order of their revisions.
    void append(std::span<RegistryEvent const> events, uint64_t revision);

    /// Changes after `position`; HistoryLost when they are no longer in the log, when they are of a later era, or when
    /// no entries have been read yet. When this relay's state is older, there are none. With `configuration`, includes
    /// the configuration when it is of a later version.
    RelayUpdate changesAfter(RegistryPosition position, std::optional<uint64_t> configuration = {}) const;
    /// All entries.
    RelayUpdate snapshot() const;
    /// Version of the configuration among the entries; 0 when there is none.
    uint64_t configurationVersion() const;
    bool hasChangesAfter(RegistryPosition position) const { return this->last > position; }

    /// Calls `waiter` once, at the next change. Returns a number for cancelWait().
    uint64_t waitForChange(Waiter waiter);
    /// Answers all waiting followers, because what this relay states of its contact to the registry has changed.
    void wake();
    void cancelWait(uint64_t number) { this->waiters.erase(number); }

private:
    void storeEntry(RegistryEvent const& event);
    /// Null when there is none.
    RegistryEvent const* configurationEntry() const;

    std::map<std::string, RegistryEvent> entries;
    std::deque<RegistryEvent> log;
    size_t logBytes { 0 };
    /// Key of the configuration among the entries.
    std::string configurationKey;
    /// The log holds all changes of the present era after this revision.
    uint64_t logStartRevision { 0 };
    RegistryPosition last;
    std::map<uint64_t, Waiter> waiters;
    uint64_t lastWaiter { 0 };
};

} // namespace Toucan
