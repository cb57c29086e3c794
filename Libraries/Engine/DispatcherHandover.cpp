#include "Engine/DispatcherHandover.h"

#include "Engine/DispatcherAssignment.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace Toucan {

/// An accepted configuration is in force on every node within 3 s; until then previous dispatchers may still dial.
static constexpr Milliseconds configurationPropagationTime { 3000 };

DispatcherHandover::DispatcherHandover(std::string name)
    : nodeName(std::move(name))
{
}

DispatcherHandover::Addresses DispatcherHandover::addressesOf(Configuration const& configuration)
{
    Addresses result;
    for (auto const& [serviceName, service] : configuration.services) {
        for (auto const& [name, target] : service.targets)
            result.emplace(target.address, std::pair { &service, &target });
    }
    return result;
}

std::optional<DispatcherHandover::Transition> DispatcherHandover::transitionOf(
    TargetDefinition const& earlier, TargetDefinition const& later, Configuration const& next) const
{
    auto const& fleet = this->configuration->fleet;
    auto const before = dispatcherCandidates(fleet, earlier, this->nodeName);
    auto const after = dispatcherCandidates(next.fleet, later, this->nodeName);
    Transition result;
    std::ranges::copy_if(after, std::back_inserter(result.added),
        [&](auto const& name) { return std::ranges::find(before, name) == before.end(); });
    result.allCandidatesNew = result.added.size() == after.size();
    result.previousShare = connectionShare(fleet, earlier);
    if (result.added.empty() && connectionShare(next.fleet, later) <= result.previousShare)
        return std::nullopt;
    return result;
}

/// Combines the transition with one that is still active: a node whose dial is delayed stays delayed, and a share that
/// has not been raised yet stays low.
void DispatcherHandover::mergeActiveTransition(
    std::string const& address, Transition& transition, Milliseconds now) const
{
    auto const found = this->transitions.find(address);
    if (found == this->transitions.end() || found->second.end <= now)
        return;
    auto const& active = found->second;
    transition.previousShare = std::min(transition.previousShare, active.previousShare);
    transition.end = std::max(transition.end, active.end);
    transition.allCandidatesNew = transition.allCandidatesNew || active.allCandidatesNew;
    for (auto const& name : active.added) {
        if (std::ranges::find(transition.added, name) == transition.added.end())
            transition.added.push_back(name);
    }
}

void DispatcherHandover::setConfiguration(ConfigurationPointer const& next, Milliseconds now)
{
    auto const previous = this->configuration;
    std::map<std::string, Transition> changed;
    auto const addresses = previous ? addressesOf(*previous) : Addresses {};
    auto const unchangedFleet = previous && previous->fleet == next->fleet;
    std::set<std::string_view> names;
    for (auto const& [address, entry] : addressesOf(*next)) {
        names.insert(entry.second->name);
        auto const found = addresses.find(address);
        // No node holds connections to a new address.
        if (found == addresses.end())
            continue;
        auto const& earlier = *found->second.second;
        auto const& later = *entry.second;
        auto const unchanged = unchangedFleet && earlier.name == later.name
            && earlier.failureDomain == later.failureDomain && earlier.connections == later.connections;
        auto transition = unchanged ? std::nullopt : this->transitionOf(earlier, later, *next);
        auto const active = this->transitions.find(address);
        if (transition) {
            // An exchange that is running at a previous dispatcher keeps its connection until its deadline.
            auto const deadline = previous->ruleOf(*found->second.first).deadline;
            transition->end = now + configurationPropagationTime + deadline;
            this->mergeActiveTransition(address, *transition, now);
            changed.emplace(address, std::move(*transition));
        } else if (active != this->transitions.end() && active->second.end > now) {
            changed.emplace(address, active->second);
        }
    }
    this->transitions = std::move(changed);
    this->configuration = next;
    if (!unchangedFleet)
        this->candidacies.clear();
    else
        std::erase_if(this->candidacies, [&](auto const& entry) { return !names.contains(entry.first); });
}

bool DispatcherHandover::isDialDelayed(std::string const& address, std::string const& node, Milliseconds now) const
{
    auto const found = this->transitions.find(address);
    if (found == this->transitions.end() || found->second.end <= now || found->second.allCandidatesNew)
        return false;
    return std::ranges::find(found->second.added, node) != found->second.added.end();
}

bool DispatcherHandover::isCandidate(TargetDefinition const& target) const
{
    auto const [entry, inserted] = this->candidacies.try_emplace(target.name);
    auto& cached = entry->second;
    if (inserted || cached.failureDomain != target.failureDomain) {
        auto const candidates = dispatcherCandidates(this->configuration->fleet, target, this->nodeName);
        cached.failureDomain = target.failureDomain;
        cached.candidate = std::ranges::find(candidates, this->nodeName) != candidates.end();
    }
    return cached.candidate;
}

uint32_t DispatcherHandover::share(TargetDefinition const& target, Milliseconds now) const
{
    auto const& fleet = this->configuration->fleet;
    if (!this->isCandidate(target))
        return 0;
    auto const fullShare = connectionShare(fleet, target);
    auto const found = this->transitions.find(target.address);
    if (found == this->transitions.end() || found->second.end <= now)
        return fullShare;
    if (this->isDialDelayed(target.address, this->nodeName, now))
        return 0;
    auto const bounded = std::min(fullShare, found->second.previousShare);
    // Previous dispatchers may hold K of the K + 1 shares, so the new ones divide the remaining one.
    return found->second.allCandidatesNew ? bounded / static_cast<uint32_t>(found->second.added.size()) : bounded;
}

Milliseconds DispatcherHandover::nextChange(Milliseconds now) const
{
    Milliseconds next { std::numeric_limits<double>::infinity() };
    for (auto const& [address, transition] : this->transitions) {
        if (transition.end > now)
            next = std::min(next, transition.end);
    }
    return next;
}

} // namespace Toucan
