#include "Operator/PlatformStore.h"

namespace Toucan {

PlatformStore::PlatformStore(std::string const& endpoint, Milliseconds timeout)
    : client(endpoint, timeout)
{
}

std::optional<StoreValue> PlatformStore::get(std::string const& key) { return this->client.get(key); }

std::vector<StoreValue> PlatformStore::getPrefix(std::string const& prefix) { return this->client.getPrefix(prefix); }

bool PlatformStore::transact(std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts)
{
    return this->client.transact(comparisons, puts);
}

} // namespace Toucan
