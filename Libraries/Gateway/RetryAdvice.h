#pragma once

#include "Base/Clock.h"

#include <functional>
#include <optional>

namespace Toucan {

/// Chooses the Retry-After of a request that was refused before it ran (RFC 9110, section 10.2.3). Load: after a loss
/// of all nodes or targets every caller is refused within a second; callers that return too early are refused again,
/// and callers that return together are the next overload.
class RetryAdvice {
public:
    struct Situation {
        /// Time until service is expected, when it is known.
        std::optional<Milliseconds> availableIn {};
        /// Time for which there has been no service; used when availableIn is not known.
        Milliseconds unavailableFor;
        /// Time that the caller still waits.
        Milliseconds timeLeft;
    };

    /// `random` returns numbers in [0, 1); it spreads the returns.
    explicit RetryAdvice(std::function<double()> random);

    Milliseconds wait(Situation const& situation) const;

private:
    std::function<double()> random;
};

} // namespace Toucan
