#include "Workspaces/FairAdmission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Toucan {

/// Queues, in waiting requests for each slot, at which the fair share begins to shrink and at which it shrinks fastest;
/// PartAdmission omits parts within the same bounds.
constexpr double firstCongestedQueue = 0.75;
constexpr double fullyCongestedQueue = 2.25;
/// Time constant of the moving average of a service's queue. All nodes average over the same time, or the levels of
/// those with few requests would differ from the others'. A longer one makes the queue swing between empty and full.
constexpr Milliseconds queueAverageTime { 300 };
/// The average holds for this time without reports and decays then with the same time constant.
constexpr Milliseconds queueHoldTime { 2000 };
/// Rates, per second, at which the level shrinks at the longest queue, and grows at the first one and, in addition,
/// without a queue. Growth by a constant and reduction by a factor bring the levels of the nodes together (Chiu and
/// Jain 1989).
constexpr double levelReduction = 0.3;
constexpr double levelGrowth = 0.1;
constexpr double levelGrowthWithoutQueue = 0.3;
/// Queue below which the targets have room.
constexpr double shortQueue = 0.25;
/// The level corresponds to this queue; each waiting request for each slot more or less changes it at once by the
/// correction. Without it, the slow changes of the level would follow the queue too late.
constexpr double usualCongestedQueue = 1;
constexpr double queueCorrection = 0.2;
constexpr double minimumLevel = 0.02;
/// Longest time that counts as one step, in seconds, on a node with few requests.
constexpr double maximumStep = 2;
/// Fair share, relative to what the workspaces may send, at which the refusals of a priority begin, and the last one
/// before only the least share is left.
constexpr double largestFairShare = 8;
constexpr double smallestFairShare = 0.2;
/// Least probability of admission, relative to the share of all requests that is admitted: no workspace may be served
/// less than a quarter as often as all together.
constexpr double leastRelativeShare = 0.3;
constexpr double admittedWeight = 0.02;
/// Level below which a congestion is more than a short queue.
constexpr double congestedLevel = 0.8;
/// The usual rate of a workspace is not learned until this time after a congestion.
constexpr Milliseconds learningPause { 5000 };

FairAdmission::FairAdmission(Hooks hooks)
    : hooks(std::move(hooks))
    , rates(this->hooks.fleetRate)
{
}

double FairAdmission::queueOf(std::string_view service, Milliseconds now) const
{
    auto const found = this->queues.find(service);
    if (found == this->queues.end())
        return 0;
    auto const& queue = found->second;
    auto const unreported = std::max(now - queue.at - queueHoldTime, Milliseconds {});
    return queue.average * std::exp(-unreported.value / queueHoldTime.value);
}

double FairAdmission::queueOf(std::span<std::string_view const> services, Milliseconds now) const
{
    std::vector<double> lengths;
    lengths.reserve(services.size());
    for (auto const service : services)
        lengths.push_back(this->queueOf(service, now));
    auto const middle = lengths.begin() + static_cast<std::ptrdiff_t>((lengths.size() - 1) * 3 / 4);
    std::nth_element(lengths.begin(), middle, lengths.end());
    return *middle;
}

void FairAdmission::onReport(std::string const& service, double queuePerSlot, Milliseconds now)
{
    // Services are known from the first request of a workspace on; without workspaces nothing is kept.
    auto const found = this->queues.find(service);
    if (found == this->queues.end())
        return;
    auto const weight = 1 - std::exp(-(now - found->second.at).value / queueAverageTime.value);
    found->second.average
        = this->queueOf(service, now) * (1 - weight) + std::min(queuePerSlot, 2 * fullyCongestedQueue) * weight;
    found->second.at = now;
}

void FairAdmission::onRejected(std::string const& service, Milliseconds now)
{
    this->onReport(service, fullyCongestedQueue, now);
}

void FairAdmission::updateLevel(Group& group, double queue, Milliseconds now)
{
    auto const step = std::clamp((now - group.at).value / 1000, 0.0, maximumStep);
    group.at = now;
    auto const pressure
        = std::clamp((queue - firstCongestedQueue) / (fullyCongestedQueue - firstCongestedQueue), 0.0, 1.0);
    auto const free = std::max(1 - queue / shortQueue, 0.0);
    auto const growth = levelGrowth * (1 - pressure) + levelGrowthWithoutQueue * free;
    auto const reduced = group.level * std::exp(-levelReduction * pressure * step);
    group.level = std::clamp(reduced + growth * step, minimumLevel, 1.0);
}

bool FairAdmission::isCongested(Milliseconds now) const { return now - this->congestedAt < learningPause; }

FairAdmission::Decision FairAdmission::admit(Request const& request, Milliseconds now)
{
    for (auto const service : request.services) {
        if (!this->queues.contains(service))
            this->queues[std::string(service)].at = now;
    }
    Decision decision;
    decision.queuePerSlot = this->queueOf(request.services, now);
    auto& group = this->groups[std::string(request.services.front())];
    updateLevel(group, decision.queuePerSlot, now);
    if (group.level < congestedLevel)
        this->congestedAt = now;
    auto const learning = this->isCongested(now) ? WorkspaceRates::Learning::Paused : WorkspaceRates::Learning::Usual;
    decision.rate = this->rates.onRequest(request.workspace, request.limit, learning, now);
    // The lowest priority closes first: each has an equal part of the level.
    // Below the capacity, queues are long for moments only; refusals would not shorten them.
    auto const correction
        = group.level < congestedLevel ? queueCorrection * (usualCongestedQueue - decision.queuePerSlot) : 0;
    auto const level = group.level + correction;
    auto const open
        = std::clamp(level * static_cast<double>(request.ranks) - static_cast<double>(request.rank), 0.0, 1.0);
    if (open < 1) {
        auto const fairShare = open > 0 ? smallestFairShare * std::pow(largestFairShare / smallestFairShare, open) : 0;
        auto const fair = fairShare / std::max(decision.rate, 1e-3);
        decision.probability = std::clamp(fair, leastRelativeShare * group.admittedShare, 1.0);
        decision.isAdmitted = this->hooks.random() < decision.probability;
    }
    group.admittedShare += ((decision.isAdmitted ? 1.0 : 0.0) - group.admittedShare) * admittedWeight;
    return decision;
}

} // namespace Toucan
