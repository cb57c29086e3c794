#pragma once

#include "Gateway/AttemptOutcome.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/RequestPart.h"

#include <optional>
#include <string>

namespace Toucan {

/// The request to which an attempt belongs.
struct AttemptOwner {
    GatewayContext& context;
    Route const& route;
    std::string const& requestId;
};

/// Counts a request that is sent to a target with a rate limit, and what it is sent for.
void countSent(GatewayContext& context, RequestAttempt const& attempt, AttemptReason reason);
/// Records what the end of an attempt shows of its target and route, and logs it unless it succeeded.
void recordOutcome(
    AttemptOwner const& owner, RequestAttempt& attempt, AttemptOutcome outcome, AttemptReply const& reply);
/// Records the end of an attempt at its target; `typical` is the median latency of such requests, when known.
void endAttempt(
    RequestAttempt& attempt, GatewayTarget::Result result, std::optional<Milliseconds> typical, Milliseconds now);

} // namespace Toucan
