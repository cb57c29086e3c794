#include "Gateway/RegistryRelay.h"

#include <algorithm>
#include <utility>

namespace Toucan {

/// Followers poll every second, so the log needs to cover a few seconds only; a configuration may take 100 KB.
constexpr size_t maximumLogBytes = 4194304;

/// Version of the configuration in the event; 0 when it is another change.
static uint64_t versionOf(RegistryEvent const& event)
{
    auto const* const put = std::get_if<ConfigurationPut>(&event.change);
    return put ? put->configuration.version : 0;
}

void RegistryRelay::storeEntry(RegistryEvent const& event)
{
    bool const isRemoval = std::holds_alternative<TargetRemoved>(event.change)
        || std::holds_alternative<EvacuationRemoved>(event.change);
    if (std::holds_alternative<ConfigurationPut>(event.change)) {
        // A restored registry may show an older version; the one that was accepted stays in force on all nodes.
        auto const* const known = this->configurationEntry();
        if (known && versionOf(*known) > versionOf(event))
            return;
        this->configurationKey = event.key;
    }
    if (isRemoval)
        this->entries.erase(event.key);
    else
        this->entries[event.key] = event;
}

RegistryEvent const* RegistryRelay::configurationEntry() const
{
    auto const found = this->entries.find(this->configurationKey);
    bool const present = found != this->entries.end() && std::holds_alternative<ConfigurationPut>(found->second.change);
    return present ? &found->second : nullptr;
}

uint64_t RegistryRelay::configurationVersion() const
{
    auto const* const entry = this->configurationEntry();
    return entry ? versionOf(*entry) : 0;
}

void RegistryRelay::reset(std::span<RegistryEvent const> events, RegistryPosition position)
{
    auto configuration = this->configurationEntry() ? this->entries.extract(this->configurationKey)
                                                    : decltype(this->entries)::node_type {};
    this->entries.clear();
    if (configuration)
        this->entries.insert(std::move(configuration));
    this->log.clear();
    this->logBytes = 0;
    for (auto const& event : events)
        this->storeEntry(event);
    this->logStartRevision = position.revision;
    this->last = position;
    this->wake();
}

void RegistryRelay::wake()
{
    for (auto const& [number, waiter] : std::exchange(this->waiters, {}))
        waiter();
}

void RegistryRelay::clear()
{
    this->entries.clear();
    this->configurationKey.clear();
    this->reset({}, {});
}

void RegistryRelay::append(std::span<RegistryEvent const> events, uint64_t revision)
{
    bool changed = false;
    for (auto const& event : events) {
        // A configuration that another relay kept from an earlier era is no change of this one.
        if (std::holds_alternative<ConfigurationPut>(event.change) && event.revision > revision) {
            this->storeEntry(event);
            continue;
        }
        if (event.revision <= this->last.revision)
            continue;
        changed = true;
        this->storeEntry(event);
        this->log.push_back(event);
        this->logBytes += event.source.size();
    }
    this->last.revision = std::max(this->last.revision, revision);
    while (this->logBytes > maximumLogBytes) {
        this->logBytes -= this->log.front().source.size();
        this->logStartRevision = this->log.front().revision;
        this->log.pop_front();
    }
    if (changed)
        this->wake();
}

RelayUpdate RegistryRelay::changesAfter(RegistryPosition position, std::optional<uint64_t> configuration) const
{
    RelayUpdate update;
    update.position = this->last;
    bool const sameEra = this->last.era == position.era;
    bool const lost = this->last.era > position.era || (sameEra && position.revision < this->logStartRevision);
    if (lost || this->last.revision == 0) {
        update.status = RegistryStatus::HistoryLost;
        return update;
    }
    update.status = RegistryStatus::Ok;
    auto const* const newest = this->configurationEntry();
    bool isIncluded = !newest || !configuration || versionOf(*newest) <= *configuration;
    for (auto const& event : this->log) {
        if (!sameEra || event.revision <= position.revision)
            continue;
        isIncluded = isIncluded || versionOf(event) == versionOf(*newest);
        update.events.push_back(event);
    }
    if (!isIncluded)
        update.events.push_back(*newest);
    return update;
}

RelayUpdate RegistryRelay::snapshot() const
{
    RelayUpdate update;
    update.position = this->last;
    if (this->last.revision == 0) {
        update.reason = "the node knows nothing itself";
        return update;
    }
    update.status = RegistryStatus::Ok;
    for (auto const& [key, event] : this->entries)
        update.events.push_back(event);
    return update;
}

uint64_t RegistryRelay::waitForChange(Waiter waiter)
{
    this->waiters.emplace(++this->lastWaiter, std::move(waiter));
    return this->lastWaiter;
}

} // namespace Toucan
