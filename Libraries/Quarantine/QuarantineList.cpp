#include "Quarantine/QuarantineList.h"

#include <algorithm>
#include <utility>

namespace Toucan {

constexpr size_t maximumEntries = 512;
/// Targets that are kept of one fingerprint. More are of no use: the request is refused long before.
constexpr size_t maximumTargets = 32;
/// Time for which a cleared fingerprint is kept, so that late reports of earlier events do not bring it back.
constexpr Milliseconds clearedTime { 10000 };

QuarantineList::QuarantineList(Hooks hooks)
    : hooks(std::move(hooks))
{
}

bool QuarantineList::isActive(Milliseconds now)
{
    if (this->entries.empty())
        return false;
    if (now >= this->nextExpiry)
        this->expire(now);
    return !this->entries.empty();
}

void QuarantineList::expire(Milliseconds now)
{
    std::erase_if(this->entries, [now](auto const& item) {
        auto const& entry = item.second;
        return entry.targets.empty() ? now - entry.clearedAt >= clearedTime : now - entry.last >= entryTime;
    });
    constexpr Milliseconds period { 1000 };
    this->nextExpiry = now + period;
    this->weighTargets();
    this->updateCanaryRoutes(now);
}

bool QuarantineList::onReport(TerminationReport const& report, Milliseconds at, Milliseconds now)
{
    if (now - at >= entryTime || (!report.cleared && report.target == 0))
        return false;
    auto found = this->entries.find(report.fingerprint);
    if (found == this->entries.end()) {
        if (report.cleared)
            return false;
        if (this->entries.size() >= maximumEntries)
            this->entries.erase(std::min_element(this->entries.begin(), this->entries.end(),
                [](auto const& left, auto const& right) { return left.second.last < right.second.last; }));
        found = this->entries.emplace(report.fingerprint, Entry {}).first;
        found->second.route = report.route;
    }
    auto& entry = found->second;
    if (report.cleared) {
        if (entry.targets.empty() || at < entry.last)
            return false;
        entry = { .route = entry.route, .targets = {}, .last = entry.last, .clearedAt = at };
    } else {
        bool const known = std::find(entry.targets.begin(), entry.targets.end(), report.target) != entry.targets.end();
        if (known || at <= entry.clearedAt || entry.targets.size() >= maximumTargets)
            return false;
        entry.targets.push_back(report.target);
        entry.endedCanary = entry.endedCanary || report.isCanary;
        entry.last = std::max(entry.last, at);
    }
    this->weighTargets();
    this->updateCanaryRoutes(now);
    if (this->isRefused(entry) && !std::exchange(entry.isQuarantined, true) && this->hooks.quarantined)
        this->hooks.quarantined(report.fingerprint, entry.targets.size());
    return true;
}

void QuarantineList::weighTargets()
{
    this->largestWeights.clear();
    for (auto const& [fingerprint, entry] : this->entries) {
        for (auto const target : entry.targets) {
            auto& largest = this->largestWeights[target];
            largest = std::max(largest, entry.weight());
        }
    }
}

size_t QuarantineList::unexplainedWeight(Entry const& entry) const
{
    auto const count = static_cast<size_t>(
        std::count_if(entry.targets.begin(), entry.targets.end(), [this, &entry](uint32_t target) {
            auto const found = this->largestWeights.find(target);
            return found == this->largestWeights.end() || found->second <= entry.weight();
        }));
    return count + (entry.endedCanary && count > 0 ? 1 : 0);
}

bool QuarantineList::isRefused(Entry const& entry) const
{
    return entry.targets.size() >= refusedTotal || this->unexplainedWeight(entry) >= refusedWeight;
}

void QuarantineList::updateCanaryRoutes(Milliseconds now)
{
    this->canaryRoutes.clear();
    std::vector<std::pair<Milliseconds, uint32_t>> single;
    for (auto const& [fingerprint, entry] : this->entries) {
        auto const count = this->unexplainedWeight(entry);
        auto& until = this->canaryRoutes[entry.route];
        if (count >= refusedWeight)
            until = std::max(until, entry.last + canaryTime);
        else if (count > 0)
            single.emplace_back(entry.last, entry.route);
    }
    // A single target prolongs the mode, but does not start it: targets that crash by themselves give such entries.
    std::sort(single.begin(), single.end());
    for (auto const& [at, route] : single) {
        auto& until = this->canaryRoutes[route];
        if (at <= until)
            until = std::max(until, at + canaryTime);
    }
    std::erase_if(this->canaryRoutes, [now](auto const& item) { return item.second <= now; });
}

QuarantineList::Decision QuarantineList::decide(uint64_t fingerprint, uint32_t route, Milliseconds now)
{
    this->isActive(now);
    Decision decision;
    if (auto const found = this->entries.find(fingerprint);
        found != this->entries.end() && !found->second.targets.empty()) {
        auto const& entry = found->second;
        decision.terminated = entry.targets.size();
        decision.left = std::max(entry.last + entryTime - now, Milliseconds {});
        decision.admission = this->isRefused(entry) ? Admission::Refused : Admission::RequestCanary;
        return decision;
    }
    auto const found = this->canaryRoutes.find(route);
    if (found != this->canaryRoutes.end() && found->second > now)
        decision.admission = Admission::RouteCanary;
    return decision;
}

bool QuarantineList::contains(uint64_t fingerprint) const
{
    auto const found = this->entries.find(fingerprint);
    return found != this->entries.end() && !found->second.targets.empty();
}

std::vector<QuarantineList::DatedReport> QuarantineList::reports(size_t limit) const
{
    std::vector<DatedReport> result;
    for (auto const& [fingerprint, entry] : this->entries) {
        for (auto const target : entry.targets)
            result.push_back({ { fingerprint, target, entry.route, false, entry.endedCanary }, entry.last });
    }
    std::sort(result.begin(), result.end(), [](auto const& left, auto const& right) { return left.at > right.at; });
    result.resize(std::min(result.size(), limit));
    return result;
}

} // namespace Toucan
