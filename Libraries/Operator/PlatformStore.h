#pragma once

#include "Operator/OperatorStore.h"

namespace Toucan {

/// OperatorStore on the platform's key-value store.
class PlatformStore final : public OperatorStore {
public:
    /// `endpoint` as in "127.0.0.1:2379".
    PlatformStore(std::string const& endpoint, Milliseconds timeout);

    std::optional<StoreValue> get(std::string const& key) override;
    std::vector<StoreValue> getPrefix(std::string const& prefix) override;
    bool transact(std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts) override;

private:
    StoreClient client;
};

} // namespace Toucan
