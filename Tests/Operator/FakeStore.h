#pragma once

#include "Base/Error.h"
#include "Operator/OperatorStore.h"

#include <functional>
#include <map>

namespace Toucan {

/// In-memory store with mod_revisions and injected faults.
class FakeStore final : public OperatorStore {
public:
    enum class Fault {
        None,
        /// No connection; the transaction has no effect.
        Unreachable,
        /// The request is lost; the transaction has no effect and there is no response.
        RequestLost,
        /// The transaction takes effect and the response is lost.
        ResponseLost,
    };

    std::optional<StoreValue> get(std::string const& key) override
    {
        if (this->failReads)
            throw Error(ErrorKind::Timeout, "No answer from the store", "Try again");
        auto const found = this->values.find(key);
        return found == this->values.end() ? std::nullopt : std::optional(found->second);
    }

    std::vector<StoreValue> getPrefix(std::string const& prefix) override
    {
        std::vector<StoreValue> found;
        for (auto const& [key, value] : this->values) {
            if (key.starts_with(prefix))
                found.push_back(value);
        }
        return found;
    }

    bool transact(std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts) override
    {
        ++this->transactions;
        auto const fault = this->nextFault ? this->nextFault() : Fault::None;
        if (fault == Fault::Unreachable)
            throw Error(ErrorKind::Unavailable, "No connection to the store", "Try again");
        auto const accepted = fault != Fault::RequestLost && this->commit(comparisons, puts);
        if (fault != Fault::None)
            throw Error(ErrorKind::Timeout, "No answer from the store", "Try again");
        return accepted;
    }

    bool commit(std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts)
    {
        for (auto const& [key, expected] : comparisons) {
            auto const found = this->values.find(key);
            if ((found == this->values.end() ? 0 : found->second.revision) != expected)
                return false;
        }
        ++this->revision;
        for (auto const& [key, value] : puts)
            this->values[key] = { key, value, this->revision };
        return true;
    }

    std::map<std::string, StoreValue> values;
    /// Called before each transaction; may call commit() to simulate another operator.
    std::function<Fault()> nextFault;
    bool failReads { false };
    unsigned transactions { 0 };

private:
    uint64_t revision { 0 };
};

} // namespace Toucan
