#pragma once

#include "Platform/StoreClient.h"

#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// The store operations used by the operator commands; the methods behave and throw as those of StoreClient.
class OperatorStore {
public:
    virtual ~OperatorStore() = default;

    virtual std::optional<StoreValue> get(std::string const& key) = 0;
    virtual std::vector<StoreValue> getPrefix(std::string const& prefix) = 0;
    virtual bool transact(std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts) = 0;
};

} // namespace Toucan
