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

/// One condition of a transaction.
struct StoreComparison {
    std::string key;
    /// Expected mod_revision; 0 if the key must not exist.
    uint64_t revision { 0 };
};
/// One effect of a transaction.
struct StorePut {
    std::string key;
    std::string value;
};

/// Blocking client of the platform's key-value store, which speaks the JSON gateway protocol of etcd v3. One instance
/// per thread. Each method throws Error: Unavailable if no connection could be made, Timeout if there was no response
/// (a write may have taken effect), ProtocolViolation if the response does not follow the protocol.
class StoreClient {
public:
    /// `endpoint` as in "127.0.0.1:2379".
    StoreClient(std::string endpoint, Milliseconds timeout);
    ~StoreClient();

    std::optional<StoreValue> get(std::string const& key);
    std::vector<StoreValue> getPrefix(std::string const& prefix);
    /// Returns whether all comparisons succeeded and the puts took effect.
    bool transact(std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts);
    /// As transact(), but returns the mod_revision of the puts, or nothing if a comparison failed.
    std::optional<uint64_t> transactForRevision(
        std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts);
    /// Reports the puts of a key, but not its deletion, until `changed` returns false, the stream ends or another
    /// thread calls stop().
    void watch(std::string const& key, uint64_t fromRevision, std::function<bool(StoreValue const&)> const& changed);
    /// Callable from any thread. Ends a running watch; later watches return at once and other later calls throw
    /// Unavailable.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
