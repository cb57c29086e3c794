#pragma once

#include "Base/Clock.h"

#include <string>
#include <vector>

namespace Toucan {

/// One entry of the platform's list of VMs, as published.
struct ListedVm {
    std::string name;
    std::string address;
    std::string failureDomain;
    /// "live" or "leaving".
    std::string state;
};

/// Reads GET /vms. Throws Error as StoreClient does.
std::vector<ListedVm> readVmList(std::string const& endpoint, Milliseconds timeout);

} // namespace Toucan
