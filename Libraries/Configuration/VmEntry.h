#pragma once

#include <string>

namespace Toucan {

/// One entry of the platform's list of VMs.
struct VmEntry {
    std::string name;
    /// IP address and port of the node's peer listener.
    std::string address;
    std::string failureDomain;
    enum class State {
        Live,
        Leaving,
    } state { State::Live };
};

} // namespace Toucan
