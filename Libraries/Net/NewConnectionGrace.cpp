#include "Net/NewConnectionGrace.h"

#include <algorithm>

namespace Toucan {

/// Time for which resets are expected after the last one: servers close idle connections after a few seconds and then
/// accept new ones.
constexpr Milliseconds resetExpiry { 3000 };
/// Ratio of the delay to the age of the last early reset; a busy server sends its resets a little later.
constexpr double delayMargin = 1.25;

void NewConnectionGrace::expectResets(Milliseconds until)
{
    this->until = std::max(this->until, until);
    this->currentDelay = std::max(this->currentDelay, this->maximumDelay * 0.5);
}

void NewConnectionGrace::onEarlyReset(Milliseconds age, Milliseconds now)
{
    if (age > this->maximumDelay)
        return;
    auto const needed = std::min(age * delayMargin, this->maximumDelay);
    this->currentDelay = now < this->until ? std::max(this->currentDelay, needed) : needed;
    this->until = std::max(this->until, now + resetExpiry);
}

} // namespace Toucan
