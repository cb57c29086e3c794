#include "Gateway/TargetRateLimit.h"

namespace Toucan {

TargetRateLimit::TargetRateLimit(double requestsPerSecond, Milliseconds now)
    : rate(requestsPerSecond)
    , firstStatement(now)
{
}

void TargetRateLimit::addSent(Sent const& requests)
{
    this->sentRequests.all += requests.all;
    this->sentRequests.hedges += requests.hedges;
    this->sentRequests.retries += requests.retries;
    this->sentRequests.chosenBefore += requests.chosenBefore;
}

} // namespace Toucan
