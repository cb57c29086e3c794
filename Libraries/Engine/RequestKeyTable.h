#pragma once

#include "Engine/Messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Toucan {

/// A request that waits for the result of a key.
struct KeyWaiter {
    std::string sender;
    std::string requestId;
    Milliseconds deadline;
};

/// State of one request key at its owner.
struct KeyEntry {
    /// Time of the key in Unix milliseconds.
    uint64_t time { 0 };
    uint32_t range { 0 };
    /// Hash of service, record and body; a key must not be reused for another request.
    uint64_t fingerprint { 0 };
    bool finished { false };
    CommandResult result;
    std::vector<KeyWaiter> waiters;
};

/// Request keys whose commands are finished or running at their owner. Old finished keys are evicted; from then on
/// every unknown key of that age counts as evicted.
class RequestKeyTable {
public:
    /// Null when the key is unknown.
    KeyEntry* find(std::string const& key);
    /// The key must be unknown, and mayHaveBeenEvicted() must be false for its time.
    KeyEntry& add(std::string const& key, KeyEntry&& entry);
    /// Stores the result, which is final, and returns the waiters; empty for an unknown or finished key.
    std::vector<KeyWaiter> finish(CommandResult const& result);
    bool hasRunning(uint32_t range) const;
    /// Whether a key with that time may have been evicted.
    bool mayHaveBeenEvicted(uint64_t time) const { return time < this->evictedBelow; }
    /// Removes finished keys older than `time` in Unix milliseconds.
    void evictBelow(uint64_t time);
    size_t size() const { return this->entries.size(); }

private:
    std::unordered_map<std::string, KeyEntry> entries;
    std::set<std::pair<uint64_t, std::string>> byTime;
    std::map<uint32_t, size_t> running;
    uint64_t evictedBelow { 0 };
};

} // namespace Toucan
