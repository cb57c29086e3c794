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

/// A request that waits for the verdict on a key.
struct KeyWaiter {
    std::string sender;
    std::string requestId;
    Milliseconds deadline;
};

/// What an owner remembers about one key.
struct KeyEntry {
    uint64_t time { 0 };
    uint32_t range { 0 };
    /// Hash of service, record and body; a key must not be reused for another request.
    uint64_t fingerprint { 0 };
    bool finished { false };
    CommandResult result;
    std::vector<KeyWaiter> waiters;
};

/// The keys that an owner has decided about or is running. Old finished keys are dropped; from then on every unknown
/// key that old counts as forgotten.
class RequestKeyTable {
public:
    /// Null when the key is not remembered.
    KeyEntry* find(std::string const& key);
    /// The key must be new and not forgotten.
    KeyEntry& add(std::string const& key, KeyEntry&& entry);
    /// Stores the verdict, which never changes afterwards, and returns the waiters. Empty for an unknown key.
    std::vector<KeyWaiter> finish(CommandResult const& result);
    bool hasRunning(uint32_t range) const;
    /// Whether a key of that time may have been dropped.
    bool isForgotten(uint64_t time) const { return time < this->forgottenBelow; }
    void forgetBelow(uint64_t time);
    size_t size() const { return this->entries.size(); }

private:
    std::unordered_map<std::string, KeyEntry> entries;
    std::set<std::pair<uint64_t, std::string>> byTime;
    std::map<uint32_t, size_t> running;
    uint64_t forgottenBelow { 0 };
};

} // namespace Toucan
