#pragma once

#include "Engine/ConfigurationState.h"
#include "Engine/NodeCore.h"

#include <json/value.h>
#include <string>
#include <utility>
#include <vector>

namespace Toucan {

/// Size of the fleet that the benchmark simulates.
struct FleetSize {
    uint32_t nodes { 470 };
    uint32_t targets { 2500 };
    /// Targets of one large service, all of which take part in each query.
    uint32_t targetsPerQuery { 770 };
};

/// Configuration document with two large services of `targetsPerQuery` shards each; the other targets are in services
/// of three targets.
Json::Value fleetDocument(FleetSize const& size);

/// Root and texts of all configuration parts of a document, as sent to a node that has none of them yet.
ConfigurationUpdate createConfigurationUpdate(Json::Value const& document, uint64_t version);

std::string nodeName(uint32_t index);
std::string failureDomainOf(uint32_t index);

/// Engine of one node with hooks that collect frames and target calls and count answers, without I/O.
class CollectingNode {
public:
    CollectingNode(FleetSize const& size, uint32_t index);

    /// Delivers one digest of each other node, so that all of them count as alive and reachable.
    void receiveDigests(FleetSize const& size);

    /// Delivers an ownership record for each key range, as in a fleet without recent changes of nodes.
    void receiveOwnershipRecords(FleetSize const& size);

    std::vector<std::pair<std::string, Json::Value>> frames;
    std::vector<TargetCall> calls;
    uint64_t answers { 0 };
    uint64_t completeAnswers { 0 };
    Milliseconds now { 1000 };
    NodeCore core;

private:
    NodeEngine::Hooks hooks();
};

} // namespace Toucan
