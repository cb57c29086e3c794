#include "Net/NewConnectionGrace.h"

#include <algorithm>

namespace Toucan {

/// Time for which resets are expected after the last one: servers close idle connections, and so have room again,
/// after a few seconds.
constexpr Milliseconds memory { 3000 };
/// Resets come a little later on a busy server.
constexpr double margin = 1.25;

void NewConnectionGrace::expectResets(Milliseconds until)
{
    this->until = std::max(this->until, until);
    this->time = std::max(this->time, this->longest * 0.5);
}

void NewConnectionGrace::onEarlyReset(Milliseconds age, Milliseconds now)
{
    if (age > this->longest)
        return;
    auto const needed = std::min(age * margin, this->longest);
    this->time = now < this->until ? std::max(this->time, needed) : needed;
    this->until = std::max(this->until, now + memory);
}

} // namespace Toucan
