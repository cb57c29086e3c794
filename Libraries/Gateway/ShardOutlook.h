#pragma once

#include "Gateway/TargetDirectory.h"

#include <optional>
#include <span>

namespace Toucan {

/// What this node expects of the targets of one shard or service.
struct ShardOutlook {
    /// Targets that may receive a request now.
    size_t usable { 0 };
    /// Shortest queue among the usable targets, in waiting requests for each slot.
    double queuePerSlot { 0 };
    /// Lowest share of failed attempts among the usable targets, 0 to 1.
    double failureShare { 0 };
    /// Earliest time at which a target may be tried; empty when none is known that will be usable.
    std::optional<Milliseconds> availableAt;
};

/// Whether a target may receive requests: it is not draining, leaving or blocked, its failure domain is not evacuated,
/// it has not asked this node to wait, its rate limit leaves this node a permit, and no other target has its address.
bool isUsable(GatewayTarget const& target, Milliseconds now);
/// Whether a draining target may still receive requests that no other target can take.
bool isLastResort(GatewayTarget const& target, Milliseconds now);
/// How a request was assigned to the target that is to receive it.
struct Assignment {
    /// Whether the target drains and no other one could take the request.
    bool asLastResort { false };
    /// Whether a permit under the target's rate limit was taken for the request.
    bool hasPermit { false };
};
/// Whether a request that was assigned to the target and has not been sent yet may still be sent to it. A blocked
/// target may receive it: the attempt shows whether it can be reached again.
bool mayReceiveAssigned(GatewayTarget const& target, Assignment const& assignment, Milliseconds now);
ShardOutlook outlookOf(std::span<TargetDirectory::TargetPointer const> targets, Milliseconds now);

} // namespace Toucan
