#include "Gateway/ReportedSlowdown.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Machines of one service differ by less than this ratio; more is a disturbance.
constexpr double unusualRatio = 1.8;
/// Bounds on the time constant with which an unusual value is forgotten: disturbances by neighbours on the machine last
/// for half a second, and a machine that has recovered must get requests again within a few seconds.
constexpr Milliseconds shortestTrust { 400 };
constexpr Milliseconds longestTrust { 2000 };

void ReportedSlowdown::add(double value, Milliseconds at)
{
    if (this->latest && at < this->at)
        return;
    if (value < this->usual * unusualRatio) {
        this->usual = value;
        this->unusualSince.reset();
    } else if (!this->unusualSince) {
        this->unusualSince = at;
    }
    this->latest = value;
    this->at = at;
}

std::optional<double> ReportedSlowdown::expected(Milliseconds now) const
{
    if (!this->latest || !this->unusualSince)
        return this->latest;
    auto const trust = std::clamp(this->at - *this->unusualSince, shortestTrust, longestTrust);
    return this->usual + (*this->latest - this->usual) * std::exp(-(now - this->at).value / trust.value);
}

} // namespace Toucan
