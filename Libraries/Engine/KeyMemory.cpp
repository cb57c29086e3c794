#include "Engine/KeyMemory.h"

#include <algorithm>

namespace Toucan {

KeyEntry* KeyMemory::find(std::string const& key)
{
    auto const found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

KeyEntry& KeyMemory::add(std::string const& key, KeyEntry&& entry)
{
    this->byTime.emplace(entry.time, key);
    if (!entry.finished)
        ++this->running[entry.range];
    return this->entries.emplace(key, std::move(entry)).first->second;
}

std::vector<KeyWaiter> KeyMemory::finish(CommandVerdict const& verdict)
{
    auto* entry = this->find(verdict.requestKey);
    if (!entry || entry->finished)
        return {};
    entry->finished = true;
    entry->verdict = verdict;
    --this->running[entry->range];
    return std::exchange(entry->waiters, {});
}

bool KeyMemory::hasRunning(uint32_t range) const
{
    auto const found = this->running.find(range);
    return found != this->running.end() && found->second > 0;
}

void KeyMemory::forgetBelow(uint64_t time)
{
    this->forgottenBelow = std::max(this->forgottenBelow, time);
    for (auto next = this->byTime.begin(); next != this->byTime.end() && next->first < this->forgottenBelow;) {
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
