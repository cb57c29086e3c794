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
    uint64_t revision { 0 };
    /// Time since the sender last received an answer of the registry itself.
    Milliseconds age;
    /// Time since the end of the last outage of the registry; set only while it is recent.
    std::optional<Milliseconds> outageEnded;
    std::string failureDomain;
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

/// Request of a follower to a relay (long poll): changes after a revision and observations after a number. It is
/// answered as soon as there are any, or after `wait`.
struct RelayRequest {
    uint64_t revision { 0 };
    uint64_t lastObservation { 0 };
    Milliseconds wait;
};

/// The registry's entries and recent changes, held for nodes that follow this one instead of the registry.
class RegistryRelay {
public:
    using Waiter = std::function<void()>;

    /// Replaces all entries after a complete read of the registry.
    void reset(std::span<RegistryEvent const> events, uint64_t revision);
    /// Appends changes, in the order of their revisions.
    void append(std::span<RegistryEvent const> events, uint64_t revision);

    /// Changes after `revision`; HistoryLost when they are no longer in the log, or when no entries have been read yet.
    RelayUpdate changesAfter(uint64_t revision) const;
    /// All entries.
    RelayUpdate snapshot() const;
    bool hasChangesAfter(uint64_t revision) const { return this->lastRevision > revision; }

    /// Calls `waiter` once, at the next change. Returns a number for cancelWait().
    uint64_t waitForChange(Waiter waiter);
    void cancelWait(uint64_t number) { this->waiters.erase(number); }

private:
    void storeEntry(RegistryEvent const& event);

    std::map<std::string, RegistryEvent> entries;
    std::deque<RegistryEvent> log;
    size_t logBytes { 0 };
    /// The log holds all changes after this revision.
    uint64_t logStartRevision { 0 };
    uint64_t lastRevision { 0 };
    std::map<uint64_t, Waiter> waiters;
    uint64_t lastWaiter { 0 };
};

} // namespace Toucan
