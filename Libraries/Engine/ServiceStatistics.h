#pragma once

#include "Base/LatencyHistogram.h"
#include "Engine/TokenBucket.h"

namespace Toucan {

/// Measurements of an entry node for one service over all its targets.
struct ServiceStatistics {
    /// Time from sending a part to its result, including the wait in the dispatcher's queue.
    LatencyHistogram partLatency;
    Milliseconds overloadedUntil;
};

/// Measurements of an entry node over all services under one rule. On each node of a large fleet, a single service has
/// too few parts for a tail quantile, or for a budget that holds a token when a slow part needs a hedge.
struct RuleStatistics {
    LatencyHistogram partLatency;
    TokenBucket extraLoad;
};

} // namespace Toucan
