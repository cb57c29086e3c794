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

/// What one node tells another about the registry.
struct RelayUpdate {
    RegistryStatus status { RegistryStatus::Failed };
    std::vector<RegistryEvent> events;
    uint64_t revision { 0 };
    /// Time since the teller last heard from the registry itself.
    Milliseconds age;
    /// Time since the end of an outage of the registry, while that is recent.
    std::optional<Milliseconds> outageEnded;
    std::string failureDomain;
    /// Nodes that follow the teller.
    uint32_t followers { 0 };
    /// What nodes learned of targets, and its number for the next question.
    std::vector<TargetObservation> observations;
    uint64_t lastObservation { 0 };
    std::string reason;
};

/// What a follower asks of a relay: changes after a revision and observations after a number. It is answered when there
/// are some, or after the wait.
struct RelayQuestion {
    uint64_t revision { 0 };
    uint64_t observation { 0 };
    Milliseconds wait;
};

/// The registry's entries and recent changes, kept for nodes that follow this one instead of the registry.
class RegistryRelay {
public:
    using Waiter = std::function<void()>;

    /// The registry was read completely.
    void reset(std::span<RegistryEvent const> events, uint64_t revision);
    /// Changes in the order of their revisions.
    void append(std::span<RegistryEvent const> events, uint64_t revision);

    /// Changes after `revision`; HistoryLost when they are no longer kept, or when this node knows less itself.
    RelayUpdate changesAfter(uint64_t revision) const;
    /// All entries.
    RelayUpdate snapshot() const;
    bool hasChangesAfter(uint64_t revision) const { return this->lastRevision > revision; }

    /// Calls `waiter` once, at the next change. Returns a number for forget().
    uint64_t wait(Waiter waiter);
    void forget(uint64_t number) { this->waiters.erase(number); }

private:
    void remember(RegistryEvent const& event);

    std::map<std::string, RegistryEvent> entries;
    std::deque<RegistryEvent> log;
    size_t logBytes { 0 };
    /// Changes after this revision are in the log.
    uint64_t firstRevision { 0 };
    uint64_t lastRevision { 0 };
    std::map<uint64_t, Waiter> waiters;
    uint64_t lastWaiter { 0 };
};

} // namespace Toucan
