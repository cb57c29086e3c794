#include "FleetStart/RejectedConnections.h"

#include <cmath>

namespace Toucan {

/// Time constant with which resets lose their weight: the targets accept connections again when idle ones time out
/// after a few seconds.
constexpr Milliseconds decayTime { 2000 };
/// Number of recent resets that gives 1 - 1/e of the maximum cost.
constexpr double usualResets = 2;

double RejectedConnections::recent(Milliseconds now) const
{
    return this->resets * std::exp(-(now - this->at).value / decayTime.value);
}

void RejectedConnections::onRejected(Milliseconds now)
{
    this->resets = this->recent(now) + 1;
    this->at = now;
}

Milliseconds RejectedConnections::cost(Milliseconds now) const
{
    return maximumCost * (1 - std::exp(-this->recent(now) / usualResets));
}

} // namespace Toucan
