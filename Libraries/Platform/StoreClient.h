#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

struct StoreValue {
    std::string key;
    std::string value;
    /// mod_revision; never 0 for a key that exists.
    uint64_t revision { 0 };
};

/// One condition or effect of a transaction.
struct StoreComparison {
    std::string key;
    /// Expected mod_revision; 0 when the key must not exist.
    uint64_t revision { 0 };
};
struct StorePut {
    std::string key;
    std::string value;
};

/// Blocking client of the platform's key-value store by etcd v3's JSON gateway. One instance for each thread.
/// Each method throws Error: Unavailable when no connection could be made, Timeout when the answer did not come (a
/// write may have taken effect), ProtocolViolation when the answer is not what the protocol says.
class StoreClient {
public:
    /// `endpoint` as in "127.0.0.1:2379".
    StoreClient(std::string endpoint, Milliseconds timeout);
    ~StoreClient();

    std::optional<StoreValue> get(std::string const& key);
    std::vector<StoreValue> getPrefix(std::string const& prefix);
    /// Returns whether all comparisons held and the puts took effect.
    bool transact(std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts);
    /// As transact(); returns the mod_revision that the puts got, or nothing when a comparison failed.
    std::optional<uint64_t> transactForRevision(
        std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts);
    /// Streams changes of a key until `changed` returns false, the stream ends or a call of stop() from another thread.
    void watch(std::string const& key, uint64_t fromRevision, std::function<bool(StoreValue const&)> const& changed);
    /// From any thread. Ends a running watch; later watches end at once, and later calls throw Unavailable.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
