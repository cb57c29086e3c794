#include "Gateway/RequestPart.h"

#include <algorithm>

namespace Toucan {

size_t RequestPart::runningAttempts() const
{
    return static_cast<size_t>(std::count_if(
        this->attempts.begin(), this->attempts.end(), [](RequestAttempt const& attempt) { return attempt.running; }));
}

size_t RequestPart::rejectedAttempts() const
{
    return static_cast<size_t>(std::count_if(
        this->attempts.begin(), this->attempts.end(), [](RequestAttempt const& attempt) { return attempt.rejected; }));
}

} // namespace Toucan
