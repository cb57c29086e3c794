#include "Gateway/RouteLatencies.h"

#include <algorithm>

namespace Toucan {

/// Share of the objective that an attempt is assumed to take while there are no measurements.
constexpr double assumedShare = 0.15;
/// Quantile from which the hedge delay is derived, so that at most about one attempt in ten is hedged. More are hedged
/// where latestHedgeShare limits the delay.
constexpr double hedgeQuantile = 0.9;
/// Hedge delay as a multiple of that quantile.
constexpr double hedgeMargin = 1.2;
/// Bounds of the hedge delay that the latencies determine, as shares of the objective. The upper one leaves the second
/// attempt time to answer within the objective.
constexpr double earliestHedgeShare = 0.1;
constexpr double latestHedgeShare = 0.4;
/// Up to this spent share of the extra attempts, the latencies alone determine the hedge delay.
constexpr double unrestrictedShare = 0.5;
/// Hedge delay as a share of the objective when the budget is nearly spent: an attempt of usual latency can then only
/// just answer within the objective.
constexpr double exhaustedHedgeShare = 0.55;

/// Quantile from which the usual maximum is derived, and the margin for a request that finds the targets busier.
constexpr double usualMaximumQuantile = 0.95;
constexpr double usualMaximumMargin = 1.2;

void RouteLatencies::add(Route const& route, Milliseconds latency, Milliseconds now)
{
    this->byRoute[route.name].add(latency, now);
}

Milliseconds RouteLatencies::typical(Route const& route, Milliseconds now) const
{
    auto const assumed = route.objective * assumedShare;
    auto const found = this->byRoute.find(route.name);
    return found == this->byRoute.end() ? assumed : found->second.quantile(0.5, now).value_or(assumed);
}

Milliseconds RouteLatencies::usualMaximum(Route const& route, Milliseconds now) const
{
    auto const found = this->byRoute.find(route.name);
    if (found == this->byRoute.end())
        return route.objective;
    auto const slow = found->second.quantile(usualMaximumQuantile, now);
    return slow ? *slow * usualMaximumMargin : route.objective;
}

Milliseconds RouteLatencies::hedgeDelay(Route const& route, double spentShare, Milliseconds now) const
{
    auto const latest = route.objective * latestHedgeShare;
    auto delay = latest;
    if (auto const found = this->byRoute.find(route.name); found != this->byRoute.end()) {
        if (auto const slow = found->second.quantile(hedgeQuantile, now))
            delay = std::clamp(*slow * hedgeMargin, route.objective * earliestHedgeShare, latest);
    }
    auto const scarcity = std::clamp((spentShare - unrestrictedShare) / (1 - unrestrictedShare), 0.0, 1.0);
    return delay + (route.objective * exhaustedHedgeShare - delay) * scarcity;
}

} // namespace Toucan
