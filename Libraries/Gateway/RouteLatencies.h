#pragma once

#include "Base/LatencyHistogram.h"
#include "Gateway/RoutingConfiguration.h"

#include <map>
#include <string>

namespace Toucan {

/// Recent latencies of the attempts of each route, from which the hedge delay is derived.
class RouteLatencies {
public:
    void add(Route const& route, Milliseconds latency, Milliseconds now);
    /// Median latency of recent attempts, or a share of the objective while there are too few measurements.
    Milliseconds typical(Route const& route, Milliseconds now) const;
    /// Time within which most requests of the route end; its objective while there are too few measurements.
    Milliseconds usualMaximum(Route const& route, Milliseconds now) const;
    /// Time after which an unanswered attempt is hedged. `spentShare` is the spent share of the extra attempts: the
    /// fewer are left, the longer the delay, so that they are used for the attempts that have most likely stalled.
    Milliseconds hedgeDelay(Route const& route, double spentShare, Milliseconds now) const;

private:
    std::map<std::string, LatencyHistogram> byRoute;
};

} // namespace Toucan
