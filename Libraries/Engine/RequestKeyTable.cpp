#include "Engine/RequestKeyTable.h"

#include <algorithm>

namespace Toucan {

KeyEntry* RequestKeyTable::find(std::string const& key)
{
    auto const found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

KeyEntry& RequestKeyTable::add(std::string const& key, KeyEntry&& entry)
{
    this->byTime.emplace(entry.time, key);
    if (!entry.finished)
        ++this->running[entry.range];
    return this->entries.emplace(key, std::move(entry)).first->second;
}

std::vector<KeyWaiter> RequestKeyTable::finish(CommandResult const& result)
{
    auto* entry = this->find(result.requestKey);
    if (!entry || entry->finished)
        return {};
    entry->finished = true;
    entry->result = result;
    --this->running[entry->range];
    return std::exchange(entry->waiters, {});
}

bool RequestKeyTable::hasRunning(uint32_t range) const
{
    auto const found = this->running.find(range);
    return found != this->running.end() && found->second > 0;
}

void RequestKeyTable::evictBelow(uint64_t time)
{
    this->evictedBelow = std::max(this->evictedBelow, time);
    for (auto next = this->byTime.begin(); next != this->byTime.end() && next->first < this->evictedBelow;) {
        auto const entry = this->entries.find(next->second);
        if (!entry->second.finished) {
            ++next;
            continue;
        }
        this->entries.erase(entry);
        next = this->byTime.erase(next);
    }
}

} // namespace Toucan
