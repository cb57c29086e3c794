#pragma once

#include "Engine/ConfigurationState.h"
#include "Engine/NodeCore.h"

#include <json/value.h>
#include <string>
#include <utility>
#include <vector>

namespace Toucan {

/// Size of the fleet that the benchmark describes.
struct FleetSize {
    uint32_t nodes { 470 };
    uint32_t targets { 2500 };
    /// Targets that one large service asks for each query.
    uint32_t targetsPerQuery { 770 };
};

/// A document with two large services of `targetsPerQuery` shards each; the other targets are in services of three.
Json::Value fleetDocument(FleetSize const& size);

/// Root and part texts of a document, as a node without any part gets them.
ConfigurationUpdate updateOf(Json::Value const& document, uint64_t version);

std::string nodeName(uint32_t index);
std::string domainOf(uint32_t index);

/// One node's engine whose effects are collected instead of carried out.
class CollectingNode {
public:
    CollectingNode(FleetSize const& size, uint32_t index);

    /// Lets the node hear one digest of each other node, so that all of them are alive and reachable.
    void hearAllPeers(FleetSize const& size);

    /// Lets the node know an owner of each key range, as in a fleet that has settled.
    void hearOwners(FleetSize const& size);

    std::vector<std::pair<std::string, Json::Value>> frames;
    std::vector<TargetCall> calls;
    uint64_t answers { 0 };
    uint64_t wholeAnswers { 0 };
    Milliseconds now { 1000 };
    NodeCore core;

private:
    NodeEngine::Hooks hooks();
};

} // namespace Toucan
