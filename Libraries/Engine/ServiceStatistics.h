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

/// Measurements of an entry node over all services under one rule. In a large fleet, each node sends too few parts of a
/// single service to estimate a tail quantile, and the budget of a single service would often be empty when a slow part
/// needs a hedge.
struct RuleStatistics {
    LatencyHistogram partLatency;
    TokenBucket extraLoad;
};

} // namespace Toucan
