#include "Engine/PartRouter.h"

#include "Engine/DispatcherAssignment.h"

#include <algorithm>
#include <utility>

namespace Toucan {

PartRouter::PartRouter(Hooks routerHooks, std::string name)
    : hooks(std::move(routerHooks))
    , nodeName(std::move(name))
{
}

void PartRouter::setConfiguration(ConfigurationPointer next)
{
    auto const previous = std::exchange(this->configuration, std::move(next));
    auto previousCandidates = std::exchange(this->candidates, {});
    if (!previous || !this->configuration || previous->fleet != this->configuration->fleet)
        return;
    // A target's candidates depend only on the fleet, its name and its failure domain; the entry also holds its
    // address.
    for (auto const& [serviceName, service] : this->configuration->services) {
        auto const* previousService = previous->service(serviceName);
        if (!previousService)
            continue;
        for (auto const& [name, target] : service.targets) {
            auto const previousTarget = previousService->targets.find(name);
            if (previousTarget == previousService->targets.end()
                || previousTarget->second.failureDomain != target.failureDomain
                || previousTarget->second.address != target.address)
                continue;
            // An empty list may have been cached for a part that named another service.
            if (auto entry = previousCandidates.extract(name); !entry.empty() && !entry.mapped().names.empty())
                this->candidates.insert(std::move(entry));
        }
    }
}

PartRouter::Candidates const& PartRouter::candidatesOf(std::string const& service, std::string const& target) const
{
    auto const [entry, inserted] = this->candidates.try_emplace(target);
    if (!inserted)
        return entry->second;
    if (auto const* definition = this->configuration ? this->configuration->service(service) : nullptr) {
        if (auto const found = definition->targets.find(target); found != definition->targets.end())
            entry->second = { found->second.address,
                dispatcherCandidates(this->configuration->fleet, found->second, this->nodeName) };
    }
    return entry->second;
}

bool PartRouter::isDispatcherCandidate(std::string const& service, std::string const& target) const
{
    auto const& names = this->candidatesOf(service, target).names;
    return std::find(names.begin(), names.end(), this->nodeName) != names.end();
}

std::string PartRouter::chooseDispatcher(PartRequest const& part)
{
    auto const& [address, names] = this->candidatesOf(part.service, part.target);
    for (auto const& name : names) {
        if (this->hooks.isDialDelayed && this->hooks.isDialDelayed(address, name))
            continue;
        if (name == this->nodeName || this->hooks.isUsable(name))
            return name;
    }
    return {};
}

void PartRouter::send(PartRequest const& part)
{
    auto const dispatcher = this->chooseDispatcher(part);
    InFlight entry { dispatcher, part.target, part.requestId, part.snapshot, part.shard };
    if (dispatcher.empty()) {
        this->fail(entry, part.attempt, PartStatus::NoDispatcher);
        return;
    }
    if (dispatcher == this->nodeName) {
        this->hooks.submitLocally(PartRequest(part));
        return;
    }
    this->inFlight.emplace(part.attempt, std::move(entry));
    this->outgoing[dispatcher].push_back(part);
}

void PartRouter::cancel(AttemptId const& attempt)
{
    auto const found = this->inFlight.find(attempt);
    if (found == this->inFlight.end()) {
        this->hooks.cancelLocally(attempt);
        return;
    }
    this->outgoingCancels[found->second.dispatcher].push_back(attempt);
    this->inFlight.erase(found);
}

void PartRouter::onPeerResult(std::string const& peer, PartResult&& result)
{
    auto const found = this->inFlight.find(result.attempt);
    if (found == this->inFlight.end() || found->second.dispatcher != peer) {
        ++this->lateResultCount;
        return;
    }
    this->inFlight.erase(found);
    this->hooks.result(std::move(result));
}

void PartRouter::onPeerLost(std::string const& peer)
{
    std::vector<std::pair<AttemptId, InFlight>> lost;
    for (auto entry = this->inFlight.begin(); entry != this->inFlight.end();) {
        if (entry->second.dispatcher != peer) {
            ++entry;
            continue;
        }
        lost.emplace_back(entry->first, std::move(entry->second));
        entry = this->inFlight.erase(entry);
    }
    // Parts that are still in the outgoing group have not left this process.
    auto const unsent = this->outgoing.extract(peer);
    this->outgoingCancels.erase(peer);
    for (auto const& [attempt, entry] : lost) {
        auto const isUnsent = !unsent.empty()
            && std::any_of(unsent.mapped().begin(), unsent.mapped().end(),
                [&id = attempt](PartRequest const& part) { return part.attempt == id; });
        this->fail(entry, attempt, isUnsent ? PartStatus::NoDispatcher : PartStatus::ConnectionLost);
    }
}

void PartRouter::fail(InFlight const& entry, AttemptId const& attempt, PartStatus status)
{
    PartResult result;
    result.attempt = attempt;
    result.target = entry.target;
    result.status = status;
    result.requestId = entry.requestId;
    result.snapshot = entry.snapshot;
    result.shard = entry.shard;
    this->hooks.result(std::move(result));
}

void PartRouter::flush()
{
    for (auto const& [peer, parts] : std::exchange(this->outgoing, {}))
        this->hooks.sendParts(peer, parts);
    for (auto const& [peer, attempts] : std::exchange(this->outgoingCancels, {}))
        this->hooks.sendCancels(peer, attempts);
}

} // namespace Toucan
