#include "FleetStart/StoredNodeCount.h"

namespace Toucan {

/// Writes are billed, and a deployment that is replaced node by node changes its count all the time.
constexpr Milliseconds writeInterval { 10000 };

/// Whether the count differs by more than a fifth from the stored one.
static bool differs(uint32_t counted, uint32_t stored)
{
    constexpr uint64_t divisor = 5;
    auto const difference = counted > stored ? counted - stored : stored - counted;
    return difference * divisor > stored;
}

std::optional<uint32_t> StoredNodeCount::takeWrite(Conditions const& conditions, Milliseconds now)
{
    if (!conditions.isFirstRelay || !conditions.isConnected || conditions.counted.value_or(0) == 0)
        return std::nullopt;
    if (this->storedCount && !differs(*conditions.counted, *this->storedCount))
        return std::nullopt;
    if (this->writtenAt && now - *this->writtenAt < writeInterval)
        return std::nullopt;
    this->writtenAt = now;
    return conditions.counted;
}

} // namespace Toucan
