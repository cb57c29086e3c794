#pragma once

#include "Base/Clock.h"

#include <random>

namespace Toucan {

/// The pause doubles with each failure in a row, from `first` to `longest`.
struct CallPauses {
    Milliseconds first { 100 };
    Milliseconds longest { 2000 };
};

/// Exponential back-off with jitter for calls to one platform service. While the gate is closed no call is made, so
/// that a fleet does not call at once when an outage ends. Not thread-safe.
class CallGate {
public:
    explicit CallGate(CallPauses pauses = {}, uint32_t seed = std::random_device {}())
        : generator(seed)
        , pauses(pauses)
        , pause(pauses.first)
    {
    }

    bool open(Milliseconds now) const { return now >= this->notBefore; }
    Milliseconds opensAt() const { return this->notBefore; }
    /// Returns whether this ends a row of failures.
    bool onSuccess();
    /// Returns whether this is the first failure after a success.
    bool onFailure(Milliseconds now);

private:
    std::mt19937 generator;
    CallPauses pauses;
    Milliseconds pause;
    Milliseconds notBefore;
    bool failing { false };
};

} // namespace Toucan
