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

/// A part request at its carrier.
struct QueuedPart {
    std::string sender;
    PartRequest request;
    Milliseconds arrived;
    Milliseconds deadline;
};

/// Parts that wait before one target: strict priority by class, first come first served within a class.
class PartQueue {
public:
    void push(QueuedPart&& part);
    size_t size() const { return this->count; }
    bool empty() const { return this->count == 0; }
    /// Parts that are served before a new one of the class.
    size_t sizeAhead(uint32_t classIndex) const;
    /// Class of the next part; empty when nothing waits.
    std::optional<uint32_t> firstClass() const;
    std::optional<QueuedPart> pop();
    /// Removes the newest part of the least urgent class below `classIndex`; empty when no such class waits.
    std::optional<QueuedPart> popLowerThan(uint32_t classIndex);
    bool contains(AttemptId const& attempt) const;
    std::vector<QueuedPart> takeIf(std::function<bool(QueuedPart const&)> const& predicate);

private:
    std::map<uint32_t, std::list<QueuedPart>> classes;
    size_t count { 0 };
};

} // namespace Toucan
