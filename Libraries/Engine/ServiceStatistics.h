#pragma once

#include "Engine/LatencyHistogram.h"
#include "Engine/TokenBucket.h"

namespace Toucan {

/// What an entry node measures for one service over all its targets.
struct ServiceStatistics {
    /// Time from sending a part to its result, including the wait at the carrier.
    LatencyHistogram partLatency;
    TokenBucket extraLoad;
    Milliseconds overloadedUntil;
};

} // namespace Toucan
