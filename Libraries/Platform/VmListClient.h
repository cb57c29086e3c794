#pragma once

#include "Base/Clock.h"
#include "Configuration/VmEntry.h"

#include <string>
#include <vector>

namespace Toucan {

/// Reads GET /vms. Throws Error as StoreClient does.
std::vector<VmEntry> readVmList(std::string const& endpoint, Milliseconds timeout);

} // namespace Toucan
