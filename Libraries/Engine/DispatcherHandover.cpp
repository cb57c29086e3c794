#include "Engine/DispatcherHandover.h"

#include "Engine/DispatcherAssignment.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace Toucan {

/// An accepted configuration is in force everywhere within 3 s; until then earlier carriers may still dial.
static constexpr Milliseconds configurationSpread { 3000 };

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
    result.allAdded = result.added.size() == after.size();
    result.earlierShare = connectionShare(fleet, earlier);
    if (result.added.empty() && connectionShare(next.fleet, later) <= result.earlierShare)
        return std::nullopt;
    return result;
}

/// A node that was still waiting for an earlier change goes on to wait, and a share that was not yet raised stays low.
void DispatcherHandover::mergeRunning(std::string const& address, Transition& transition, Milliseconds now) const
{
    auto const found = this->transitions.find(address);
    if (found == this->transitions.end() || found->second.end <= now)
        return;
    auto const& running = found->second;
    transition.earlierShare = std::min(transition.earlierShare, running.earlierShare);
    transition.end = std::max(transition.end, running.end);
    transition.allAdded = transition.allAdded || running.allAdded;
    for (auto const& name : running.added) {
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
        // Nobody dialled an address that is new.
        if (found == addresses.end())
            continue;
        auto const& earlier = *found->second.second;
        auto const& later = *entry.second;
        auto const unchanged = unchangedFleet && earlier.name == later.name
            && earlier.failureDomain == later.failureDomain && earlier.connections == later.connections;
        auto transition = unchanged ? std::nullopt : this->transitionOf(earlier, later, *next);
        auto const running = this->transitions.find(address);
        if (transition) {
            // An exchange that runs at a former carrier keeps its connection until its deadline.
            auto const deadline = previous->ruleOf(*found->second.first).deadline;
            transition->end = now + configurationSpread + deadline;
            this->mergeRunning(address, *transition, now);
            changed.emplace(address, std::move(*transition));
        } else if (running != this->transitions.end() && running->second.end > now) {
            changed.emplace(address, running->second);
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
    if (found == this->transitions.end() || found->second.end <= now || found->second.allAdded)
        return false;
    return std::ranges::find(found->second.added, node) != found->second.added.end();
}

bool DispatcherHandover::isCandidate(TargetDefinition const& target) const
{
    auto const [entry, inserted] = this->candidacies.try_emplace(target.name);
    auto& known = entry->second;
    if (inserted || known.failureDomain != target.failureDomain) {
        auto const candidates = dispatcherCandidates(this->configuration->fleet, target, this->nodeName);
        known.failureDomain = target.failureDomain;
        known.candidate = std::ranges::find(candidates, this->nodeName) != candidates.end();
    }
    return known.candidate;
}

uint32_t DispatcherHandover::share(TargetDefinition const& target, Milliseconds now) const
{
    auto const& fleet = this->configuration->fleet;
    if (!this->isCandidate(target))
        return 0;
    auto const whole = connectionShare(fleet, target);
    auto const found = this->transitions.find(target.address);
    if (found == this->transitions.end() || found->second.end <= now)
        return whole;
    if (this->isDialDelayed(target.address, this->nodeName, now))
        return 0;
    auto const bounded = std::min(whole, found->second.earlierShare);
    // The spare share of the divisor K + 1 is all that the earlier carriers leave free.
    return found->second.allAdded ? bounded / static_cast<uint32_t>(found->second.added.size()) : bounded;
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
