#include "Gateway/ExtraAttemptBudget.h"

#include <algorithm>

namespace Toucan {

ExtraAttemptBudget::ExtraAttemptBudget(Limits limits)
    : limits(limits)
{
}

void ExtraAttemptBudget::onRequest(std::string const& service)
{
    auto& saved = this->savedByService[service];
    saved = std::min(this->limits.savings, saved + this->limits.ratio);
}

bool ExtraAttemptBudget::tryTake(std::string const& service)
{
    auto& saved = this->savedByService[service];
    if (saved < 1)
        return false;
    saved -= 1;
    return true;
}

} // namespace Toucan
