#include "Gateway/RegistryRelay.h"

#include <algorithm>
#include <utility>

namespace Toucan {

/// Followers ask every second, so the log needs to reach back a few seconds only; a configuration may take 100 KB.
constexpr size_t mostLogBytes = 4194304;

void RegistryRelay::remember(RegistryEvent const& event)
{
    if (std::holds_alternative<TargetRemoved>(event.change))
        this->entries.erase(event.key);
    else
        this->entries[event.key] = event;
}

void RegistryRelay::reset(std::span<RegistryEvent const> events, uint64_t revision)
{
    this->entries.clear();
    this->log.clear();
    this->logBytes = 0;
    for (auto const& event : events)
        this->remember(event);
    this->firstRevision = revision;
    this->lastRevision = revision;
    for (auto const& [number, waiter] : std::exchange(this->waiters, {}))
        waiter();
}

void RegistryRelay::append(std::span<RegistryEvent const> events, uint64_t revision)
{
    bool changed = false;
    for (auto const& event : events) {
        if (event.revision <= this->lastRevision)
            continue;
        changed = true;
        this->remember(event);
        this->log.push_back(event);
        this->logBytes += event.source.size();
    }
    this->lastRevision = std::max(this->lastRevision, revision);
    while (this->logBytes > mostLogBytes) {
        this->logBytes -= this->log.front().source.size();
        this->firstRevision = this->log.front().revision;
        this->log.pop_front();
    }
    if (!changed)
        return;
    for (auto const& [number, waiter] : std::exchange(this->waiters, {}))
        waiter();
}

RelayUpdate RegistryRelay::changesAfter(uint64_t revision) const
{
    RelayUpdate news;
    news.revision = this->lastRevision;
    if (revision < this->firstRevision || this->lastRevision == 0) {
        news.status = RegistryStatus::HistoryLost;
        return news;
    }
    news.status = RegistryStatus::Ok;
    for (auto const& event : this->log) {
        if (event.revision > revision)
            news.events.push_back(event);
    }
    return news;
}

RelayUpdate RegistryRelay::snapshot() const
{
    RelayUpdate news;
    news.revision = this->lastRevision;
    if (this->lastRevision == 0) {
        news.reason = "the node knows nothing itself";
        return news;
    }
    news.status = RegistryStatus::Ok;
    for (auto const& [key, event] : this->entries)
        news.events.push_back(event);
    return news;
}

uint64_t RegistryRelay::wait(Waiter waiter)
{
    this->waiters.emplace(++this->lastWaiter, std::move(waiter));
    return this->lastWaiter;
}

} // namespace Toucan
