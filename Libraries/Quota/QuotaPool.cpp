#include "Quota/QuotaPool.h"

#include <algorithm>

namespace Toucan {

void QuotaPool::add(uint32_t tokens, Milliseconds expiresAt)
{
    if (tokens == 0)
        return;
    this->total += tokens;
    auto const at = std::find_if(
        this->batches.begin(), this->batches.end(), [=](Batch const& batch) { return batch.expiresAt <= expiresAt; });
    if (at != this->batches.end() && at->expiresAt == expiresAt)
        at->tokens += tokens;
    else
        this->batches.insert(at, { expiresAt, tokens });
}

uint32_t QuotaPool::expire(Milliseconds now)
{
    uint32_t expired = 0;
    while (!this->batches.empty() && this->batches.back().expiresAt <= now) {
        expired += this->batches.back().tokens;
        this->batches.pop_back();
    }
    this->total -= expired;
    return expired;
}

std::optional<Milliseconds> QuotaPool::take()
{
    if (this->batches.empty())
        return std::nullopt;
    auto& batch = this->batches.back();
    auto const expiresAt = batch.expiresAt;
    if (--batch.tokens == 0)
        this->batches.pop_back();
    --this->total;
    return expiresAt;
}

} // namespace Toucan
