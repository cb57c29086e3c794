#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Toucan {

/// Issued tokens of one limit, each with the time at which it ends.
class QuotaPool {
public:
    /// `expiresAt` is a time of the clock that includes suspension.
    void add(uint32_t tokens, Milliseconds expiresAt);
    /// Removes the tokens that have ended and returns their number.
    uint32_t expire(Milliseconds now);
    /// Takes the token that ends first and returns its end; empty when there is none.
    std::optional<Milliseconds> take();
    uint32_t size() const { return this->total; }

private:
    struct Batch {
        Milliseconds expiresAt;
        uint32_t tokens { 0 };
    };
    /// The batch that ends first is the last one.
    std::vector<Batch> batches;
    uint32_t total { 0 };
};

} // namespace Toucan
