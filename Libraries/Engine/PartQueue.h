#pragma once

#include "Engine/Messages.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// A part request at its dispatcher.
struct QueuedPart {
    std::string sender;
    PartRequest request;
    Milliseconds arrived;
    Milliseconds deadline;
};

/// Parts queued for one target: strict priority by class, first in first out within a class.
class PartQueue {
public:
    void push(QueuedPart&& part);
    size_t size() const { return this->count; }
    bool empty() const { return this->count == 0; }
    /// Number of parts that are served before a new one of the class.
    size_t sizeAhead(uint32_t classIndex) const;
    /// Class of the next part; empty when no part is queued.
    std::optional<uint32_t> nextClass() const;
    std::optional<QueuedPart> pop();
    /// Removes the newest part of the least urgent class that is less urgent than `classIndex`; empty when there is
    /// none.
    std::optional<QueuedPart> popLessUrgentThan(uint32_t classIndex);
    bool contains(AttemptId const& attempt) const;
    std::vector<QueuedPart> takeIf(std::function<bool(QueuedPart const&)> const& predicate);

private:
    std::map<uint32_t, std::list<QueuedPart>> classes;
    size_t count { 0 };
};

} // namespace Toucan
