#pragma once

#include "Base/LatencyHistogram.h"
#include "Engine/TokenBucket.h"

namespace Toucan {

/// What an entry node measures for one service over all its targets.
struct ServiceStatistics {
    /// Time from sending a part to its result, including the wait at the carrier.
    LatencyHistogram partLatency;
    Milliseconds overloadedUntil;
};

/// What an entry node measures over all services under one rule. One service alone sees too few parts on each node of a
/// large fleet for a tail quantile, or for a budget that has a token when a straggler comes.
struct RuleStatistics {
    LatencyHistogram partLatency;
    TokenBucket extraLoad;
};

} // namespace Toucan
