#pragma once

#include "Base/Clock.h"

#include <random>

namespace Toucan {

/// Exponential back-off with jitter for calls to one platform service. While the gate is closed no call is made, so
/// that a fleet does not call at once when an outage ends. Not thread-safe.
class CallGate {
public:
    explicit CallGate(uint32_t seed = std::random_device {}())
        : generator(seed)
    {
    }

    bool open(Milliseconds now) const { return now >= this->notBefore; }
    Milliseconds opensAt() const { return this->notBefore; }
    /// Returns whether this ends a row of failures.
    bool onSuccess();
    /// Returns whether this is the first failure after a success.
    bool onFailure(Milliseconds now);

    static constexpr Milliseconds firstPause = 100_ms;
    static constexpr Milliseconds longestPause = 2000_ms;

private:
    std::mt19937 generator;
    Milliseconds pause { firstPause };
    Milliseconds notBefore;
    bool failing { false };
};

} // namespace Toucan
