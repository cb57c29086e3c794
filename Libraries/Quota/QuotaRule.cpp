#include "Quota/QuotaRule.h"

#include <algorithm>

namespace Toucan {

constexpr double millisecondsPerSecond = 1000;
constexpr Milliseconds longestLifetime { 2500 };

Milliseconds QuotaRule::lifetime(QuotaBounds const& bounds) const
{
    auto const fromSlack = Milliseconds { millisecondsPerSecond * bounds.slack / (2 * this->ratePerSecond) };
    // A lowered limit binds one window after it is known, so no token may outlive a window.
    return std::min({ bounds.window * bounds.overshoot + fromSlack, longestLifetime, bounds.window });
}

double QuotaRule::capacity(QuotaBounds const& bounds, Milliseconds lifetime) const
{
    auto const excess = (lifetime - bounds.window * bounds.overshoot).value / millisecondsPerSecond;
    return this->burst * (1 + bounds.overshoot) + bounds.slack - this->ratePerSecond * excess;
}

double QuotaRule::bound(QuotaBounds const& bounds) const
{
    auto const regular = this->ratePerSecond * bounds.window.value / millisecondsPerSecond + this->burst;
    return regular * (1 + bounds.overshoot) + bounds.slack;
}

} // namespace Toucan
