#pragma once

#include "Base/LatencyHistogram.h"
#include "Gateway/RoutingConfiguration.h"

#include <map>
#include <string>

namespace Toucan {

/// Usual latencies of the attempts of each route, from which the delay before a hedge is taken.
class RouteLatencies {
public:
    void add(Route const& route, Milliseconds latency, Milliseconds now);
    /// Median of recent attempts, or a guess from the objective while there are too few.
    Milliseconds typical(Route const& route, Milliseconds now) const;
    /// Time after which an unanswered attempt is hedged. `spentShare` is the part of the extra attempts that is spent:
    /// the fewer are left, the later the hedge, so that they go to the attempts that most likely stand still.
    Milliseconds hedgeDelay(Route const& route, double spentShare, Milliseconds now) const;

private:
    std::map<std::string, LatencyHistogram> byRoute;
};

} // namespace Toucan
