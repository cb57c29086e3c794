#pragma once

#include "Gateway/RegistryPosition.h"
#include "Gateway/RoutingConfiguration.h"
#include "Gateway/TargetRegistration.h"
#include "Succession/RelayRoster.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Toucan {

/// A target registered itself or changed its registration.
struct TargetPut {
    TargetRegistration registration;
};
struct TargetRemoved {
    std::string id;
};
struct ConfigurationPut {
    RoutingConfiguration configuration;
};
/// An entry that cannot be used. `id` is the target that its key names; empty when it names none.
struct UnusableEntry {
    std::string key;
    std::string id;
    std::string reason;
};
/// An operator evacuates a failure domain: nothing more may be sent to its targets until the entry is removed.
struct EvacuationPut {
    std::string failureDomain;
};
struct EvacuationRemoved {
    std::string failureDomain;
};
/// The number of nodes that a relay stored. Empty when the entry was removed or cannot be read; `fault` says why.
struct NodeCountPut {
    std::optional<uint32_t> nodes;
    std::string fault;
};
/// The relays of the fleet. Empty when the entry was removed or cannot be read; `fault` says why.
struct RosterPut {
    std::optional<RelayRoster> roster;
    std::string fault;
};
using RegistryChange = std::variant<TargetPut, TargetRemoved, ConfigurationPut, UnusableEntry, EvacuationPut,
    EvacuationRemoved, NodeCountPut, RosterPut>;

/// One entry, or its removal, as of a revision of the registry in the era of the list that holds it.
struct RegistryEvent {
    uint64_t revision { 0 };
    std::string key;
    /// The entry in the registry's encoding; other nodes of the deployment read it with the same decoder.
    std::string source;
    RegistryChange change;
};

enum class RegistryStatus {
    Ok,
    /// The changes since the revision are no longer available; all entries must be read again.
    HistoryLost,
    /// The call was refused or timed out, or its answer cannot be parsed.
    Failed,
};

/// All entries or changes, as of a position of the registry.
struct RegistryReply {
    RegistryStatus status { RegistryStatus::Failed };
    std::vector<RegistryEvent> events;
    RegistryPosition position;
    /// Reason of a failure, for the log.
    std::string reason;
};

} // namespace Toucan
