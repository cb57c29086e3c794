#pragma once

#include "Base/Clock.h"

#include <random>

namespace Toucan {

/// The delay doubles with each consecutive failure, from `initial` to `maximum`.
struct BackoffDelays {
    Milliseconds initial { 100 };
    Milliseconds maximum { 2000 };
};

/// Exponential backoff with jitter for calls to one platform service. No call is made during the delay, so that the
/// nodes of a fleet do not all call at once when an outage ends. Not thread-safe.
class CallBackoff {
public:
    explicit CallBackoff(BackoffDelays delays = {}, uint32_t seed = std::random_device {}())
        : generator(seed)
        , delays(delays)
        , delay(delays.initial)
    {
    }

    bool allowsCall(Milliseconds now) const { return now >= this->notBefore; }
    Milliseconds nextCallAt() const { return this->notBefore; }
    /// Returns whether this is the first success after a failure.
    bool onSuccess();
    /// Returns whether this is the first failure after a success.
    bool onFailure(Milliseconds now);

private:
    std::mt19937 generator;
    BackoffDelays delays;
    Milliseconds delay;
    Milliseconds notBefore;
    bool failing { false };
};

} // namespace Toucan
