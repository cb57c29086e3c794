#pragma once

#include "Engine/TargetHealth.h"
#include "Engine/UnavailableSnapshots.h"

#include <string>
#include <unordered_map>

namespace Toucan {

/// Health of all targets of this node's services, by target name.
struct TargetHealthTable {
    std::unordered_map<std::string, TargetHealth> targets;
    UnavailableSnapshots unavailableSnapshots;

    TargetHealth& of(std::string const& target) { return this->targets[target]; }
};

} // namespace Toucan
