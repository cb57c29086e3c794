#include "Gateway/LatencyBook.h"

#include <algorithm>

namespace Toucan {

/// Share of the objective that an attempt takes while nothing was measured.
constexpr double assumedShare = 0.15;
/// Attempts slower than this quantile are hedged, so that hedges take about this share of the attempts at most.
constexpr double hedgeQuantile = 0.9;
constexpr double hedgeMargin = 1.2;
/// A hedge must leave the second attempt time to answer within the objective.
constexpr double earliestHedgeShare = 0.1;
constexpr double latestHedgeShare = 0.4;

void LatencyBook::add(Route const& route, Milliseconds latency, Milliseconds now)
{
    this->byRoute[route.name].add(latency, now);
}

Milliseconds LatencyBook::typical(Route const& route, Milliseconds now) const
{
    auto const assumed = route.objective * assumedShare;
    auto const found = this->byRoute.find(route.name);
    return found == this->byRoute.end() ? assumed : found->second.quantile(0.5, now).value_or(assumed);
}

Milliseconds LatencyBook::hedgeDelay(Route const& route, Milliseconds now) const
{
    auto const latest = route.objective * latestHedgeShare;
    auto const found = this->byRoute.find(route.name);
    if (found == this->byRoute.end())
        return latest;
    auto const slow = found->second.quantile(hedgeQuantile, now);
    if (!slow)
        return latest;
    return std::clamp(*slow * hedgeMargin, route.objective * earliestHedgeShare, latest);
}

} // namespace Toucan
