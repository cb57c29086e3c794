#pragma once

#include "Workspaces/KeyDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// A customer's part of a deployment: who may send requests, how urgent they are, and how many there may be.
struct Workspace {
    std::string name;
    /// Digests of the secret keys that identify its callers; empty once the configuration is in force. The keys must
    /// never be logged or sent to a target.
    std::vector<KeyDigest> keys {};
    /// Replaces the priority of the route; 0 is the highest. Empty: the route's priority holds.
    std::optional<uint32_t> priority {};
    /// Requests per second that all nodes together may run for it; 0 means no limit.
    double ratePerSecond { 0 };
    /// Requests that may run at once beyond the rate.
    double burst { 0 };

    bool hasLimit() const { return this->ratePerSecond > 0; }
};

} // namespace Toucan
