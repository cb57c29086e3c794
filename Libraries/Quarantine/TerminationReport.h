#pragma once

#include <cstdint>

namespace Toucan {

/// A target's process that ended while it ran a request, or the later success of that request, for the other nodes.
struct TerminationReport {
    /// fingerprintOf() the request.
    uint64_t fingerprint { 0 };
    /// terminatedTargetHash() of the target; 0 when `cleared`.
    uint32_t target { 0 };
    /// routeHash() of the request's route.
    uint32_t route { 0 };
    /// The request has succeeded since.
    bool cleared { false };
    /// The target ended while the request was at it alone, as the canary of its route.
    bool isCanary { false };

    bool operator==(TerminationReport const&) const = default;
};

} // namespace Toucan
