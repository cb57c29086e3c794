#pragma once

#include "Base/Clock.h"

namespace Toucan {

/// How much a new connection is expected to cost while targets reset new connections at their limits, as they do after
/// a loss of power until the connections of the dead nodes have timed out. Added to the expected latency of targets
/// without a connection, it keeps requests and hedges on the replicas that this node is connected to. It responds to
/// the resets that this node has seen; without any, the cost is zero.
class RejectedConnections {
public:
    /// A target reset a new connection before a request was sent on it.
    void onRejected(Milliseconds now);
    /// Between 0 and maximumCost.
    Milliseconds cost(Milliseconds now) const;

    /// Time that a rejected connection and the connection to another replica take.
    static constexpr Milliseconds maximumCost { 30 };

private:
    double recent(Milliseconds now) const;

    /// Resets, each counted less the longer ago it was.
    double resets { 0 };
    Milliseconds at;
};

} // namespace Toucan
