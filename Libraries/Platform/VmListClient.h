#pragma once

#include "Base/Clock.h"
#include "Configuration/VmEntry.h"

#include <string>
#include <vector>

namespace Toucan {

/// Reads the platform's list of VMs by GET /vms. Throws the same errors as StoreClient.
std::vector<VmEntry> readVmList(std::string const& endpoint, Milliseconds timeout);

} // namespace Toucan
