#include "Workspaces/WorkspaceRates.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

constexpr size_t maximumWorkspaces = 10000;
/// Workspaces without requests for this time make room for others.
constexpr Milliseconds idleTime { 60000 };
constexpr Milliseconds cleaningPeriod { 10000 };
/// Time constant of the present rate, in seconds: several requests of a workspace that sends a few per second.
constexpr double rateTime = 8;
/// Requests at the limit over which the rate of a workspace with a low limit is averaged.
constexpr double averagedRequests = 8;
/// Time constant of the usual rate, in seconds: longer than the overload that a burst causes.
constexpr double usualTime = 60;
/// Time in seconds for which a rate is learned in any case; until then the workspace counts as usual.
constexpr double leastLearnedTime = 10;
/// Requests at the usual rate that are added to both rates, so that two requests of a rare workspace that happen to
/// follow each other are no sign of more load.
constexpr double priorRequests = 3;

void WorkspaceRates::removeIdle(Milliseconds now)
{
    if (now - this->cleanedAt < cleaningPeriod)
        return;
    this->cleanedAt = now;
    std::erase_if(this->estimates, [now](auto const& entry) { return now - entry.second.at > idleTime; });
}

WorkspaceRates::Estimate* WorkspaceRates::find(std::string_view workspace, Milliseconds now)
{
    if (auto const found = this->estimates.find(workspace); found != this->estimates.end())
        return &found->second;
    if (this->estimates.size() >= maximumWorkspaces)
        this->removeIdle(now);
    if (this->estimates.size() >= maximumWorkspaces)
        return nullptr;
    auto& estimate = this->estimates[std::string(workspace)];
    estimate.firstAt = estimate.at = now;
    return &estimate;
}

double WorkspaceRates::onRequest(std::string_view workspace, double limit, Learning learning, Milliseconds now)
{
    auto const fleet = this->fleetRate ? this->fleetRate(workspace) : std::nullopt;
    auto* const estimate = this->find(workspace, now);
    if (!estimate)
        return 1;
    auto const elapsed = std::max((now - estimate->at).value, 0.0) / 1000;
    estimate->at = now;
    estimate->rate = estimate->rate * std::exp(-elapsed / rateTime) + 1 / rateTime;
    if (fleet) {
        // What exceeds the limit is refused before.
        auto const used = limit > 0 ? std::min(*fleet, limit) : *fleet;
        auto const averageTime = limit > 0 ? std::max(rateTime, averagedRequests / limit) : rateTime;
        auto const weight = estimate->fleetRate ? 1 - std::exp(-elapsed / averageTime) : 1;
        estimate->fleetRate = estimate->fleetRate.value_or(0) * (1 - weight) + used * weight;
        if (limit > 0)
            return *estimate->fleetRate / limit;
    }
    // The moving average began with nothing.
    auto const age = (now - estimate->firstAt).value / 1000;
    auto const ownRate = estimate->rate / std::max(1 - std::exp(-age / rateTime), 0.1);
    auto const rate = fleet ? *estimate->fleetRate : ownRate;
    if (learning == Learning::Usual || estimate->learned < leastLearnedTime) {
        estimate->learned = std::min(estimate->learned + elapsed, usualTime);
        // The average since the first request at first, later one over the time constant.
        auto const weight = estimate->learned > 0 ? std::min(elapsed / estimate->learned, 1.0) : 1.0;
        estimate->usual += (rate - estimate->usual) * weight;
    }
    if (estimate->learned < leastLearnedTime)
        return 1;
    constexpr double prior = priorRequests / rateTime;
    return fleet ? rate / std::max(estimate->usual, 1e-3) : (rate + prior) / (estimate->usual + prior);
}

} // namespace Toucan
