#include "Gateway/RetryAdvice.h"

#include <algorithm>

namespace Toucan {

/// A shorter wait is not worth another request and its connection.
constexpr Milliseconds minimumWait { 50 };
constexpr Milliseconds maximumWait { 1000 };
/// Share of the caller's time that the wait may take before the spread is added, so that the next request still has
/// time to be served.
constexpr double maximumShareOfTimeLeft = 0.25;
/// The waits differ by up to this share, so that callers that were refused together do not return together.
constexpr double spread = 0.3;

RetryAdvice::RetryAdvice(std::function<double()> random)
    : random(std::move(random))
{
}

Milliseconds RetryAdvice::wait(Situation const& situation) const
{
    // Without other knowledge, an outage is expected to last for about as long as it has lasted.
    auto const estimate = situation.availableIn.value_or(situation.unavailableFor);
    auto const longest = std::clamp(situation.timeLeft * maximumShareOfTimeLeft, minimumWait, maximumWait);
    return std::clamp(estimate, minimumWait, longest) * (1 + spread * this->random());
}

} // namespace Toucan
