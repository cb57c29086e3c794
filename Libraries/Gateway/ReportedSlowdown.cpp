#include "Gateway/ReportedSlowdown.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Values at this ratio to the last normal value, or above it, are abnormal; the normal speeds of the machines of one
/// service differ by less.
constexpr double abnormalRatio = 1.8;
/// Bounds on the time constant with which an abnormal value decays: disturbances by other workloads on the machine last
/// for half a second, and a machine that has recovered must receive requests again within a few seconds.
constexpr Milliseconds minimumDecayTime { 400 };
constexpr Milliseconds maximumDecayTime { 2000 };

void ReportedSlowdown::add(double value, Milliseconds at)
{
    if (this->latest && at < this->at)
        return;
    if (value < this->normal * abnormalRatio) {
        this->normal = value;
        this->abnormalSince.reset();
    } else if (!this->abnormalSince) {
        this->abnormalSince = at;
    }
    this->latest = value;
    this->at = at;
}

std::optional<double> ReportedSlowdown::expected(Milliseconds now) const
{
    if (!this->latest || !this->abnormalSince)
        return this->latest;
    auto const decay = std::clamp(this->at - *this->abnormalSince, minimumDecayTime, maximumDecayTime);
    return this->normal + (*this->latest - this->normal) * std::exp(-(now - this->at).value / decay.value);
}

} // namespace Toucan
