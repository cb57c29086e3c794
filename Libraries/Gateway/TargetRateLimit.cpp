#include "Gateway/TargetRateLimit.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Bounds of the rate that is used, in requests per second. A target that accepts none is asked again at the lower one,
/// because only its answers show the end of the limit.
constexpr double minimumRate = 0.25;
constexpr double maximumRate = 1000000;
constexpr Milliseconds second { 1000 };

TargetRateLimit::TargetRateLimit(
    double requestsPerSecond, double share, double phase, Milliseconds now, Milliseconds lifetime)
    : rate(requestsPerSecond)
    , share(share)
    , permitLifetime(lifetime)
    , firstStatement(now)
    , nextPermit(now + this->interval() * phase)
{
}

Milliseconds TargetRateLimit::interval() const
{
    return second * (1 / (std::clamp(this->rate, minimumRate, maximumRate) * this->share));
}

void TargetRateLimit::setRate(double requestsPerSecond, Milliseconds now)
{
    auto const former = this->interval();
    this->rate = requestsPerSecond;
    this->reschedule(former, now);
}

void TargetRateLimit::setShare(double newShare, Milliseconds now)
{
    auto const former = this->interval();
    this->share = newShare;
    this->reschedule(former, now);
}

void TargetRateLimit::reschedule(Milliseconds formerInterval, Milliseconds now)
{
    if (this->nextPermit > now)
        this->nextPermit = now + (this->nextPermit - now) * (this->interval().value / formerInterval.value);
}

Milliseconds TargetRateLimit::permitAt(Milliseconds now) const
{
    auto const expired = now - this->permitLifetime - this->nextPermit;
    if (expired <= Milliseconds {})
        return this->nextPermit;
    auto const step = this->interval();
    return this->nextPermit + step * std::ceil(expired.value / step.value);
}

void TargetRateLimit::takePermit(Milliseconds now) { this->nextPermit = this->permitAt(now) + this->interval(); }

void TargetRateLimit::addSent(Sent const& requests)
{
    this->sentRequests.all += requests.all;
    this->sentRequests.hedges += requests.hedges;
    this->sentRequests.retries += requests.retries;
    this->sentRequests.chosenBefore += requests.chosenBefore;
}

} // namespace Toucan
