#include "Engine/PartQueue.h"

#include <algorithm>

namespace Toucan {

void PartQueue::push(QueuedPart&& part)
{
    this->classes[part.request.classIndex].push_back(std::move(part));
    ++this->count;
}

size_t PartQueue::sizeAhead(uint32_t classIndex) const
{
    size_t result = 0;
    for (auto const& [index, parts] : this->classes)
        result += index <= classIndex ? parts.size() : 0;
    return result;
}

std::optional<uint32_t> PartQueue::nextClass() const
{
    for (auto const& [index, parts] : this->classes) {
        if (!parts.empty())
            return index;
    }
    return std::nullopt;
}

std::optional<QueuedPart> PartQueue::pop()
{
    for (auto& [index, parts] : this->classes) {
        if (parts.empty())
            continue;
        auto result = std::move(parts.front());
        parts.pop_front();
        --this->count;
        return result;
    }
    return std::nullopt;
}

std::optional<QueuedPart> PartQueue::popLessUrgentThan(uint32_t classIndex)
{
    for (auto entry = this->classes.rbegin(); entry != this->classes.rend() && entry->first > classIndex; ++entry) {
        auto& parts = entry->second;
        if (parts.empty())
            continue;
        auto result = std::move(parts.back());
        parts.pop_back();
        --this->count;
        return result;
    }
    return std::nullopt;
}

bool PartQueue::contains(AttemptId const& attempt) const
{
    return std::ranges::any_of(this->classes, [&](auto const& entry) {
        return std::ranges::any_of(entry.second, [&](auto const& part) { return part.request.attempt == attempt; });
    });
}

std::vector<QueuedPart> PartQueue::takeIf(std::function<bool(QueuedPart const&)> const& predicate)
{
    std::vector<QueuedPart> result;
    for (auto& [index, parts] : this->classes) {
        for (auto part = parts.begin(); part != parts.end();) {
            if (!predicate(*part)) {
                ++part;
                continue;
            }
            result.push_back(std::move(*part));
            part = parts.erase(part);
            --this->count;
        }
    }
    return result;
}

} // namespace Toucan
