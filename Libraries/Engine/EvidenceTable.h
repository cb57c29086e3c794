#pragma once

#include "Engine/GoneSnapshots.h"
#include "Engine/TargetEvidence.h"

#include <string>
#include <unordered_map>

namespace Toucan {

/// Evidence about all targets of this node's services, by target name.
struct EvidenceTable {
    std::unordered_map<std::string, TargetEvidence> targets;
    GoneSnapshots gone;

    TargetEvidence& of(std::string const& target) { return this->targets[target]; }
};

} // namespace Toucan
