#include "Node/CallBackoff.h"

#include <algorithm>
#include <utility>

namespace Toucan {

bool CallBackoff::onSuccess()
{
    this->delay = this->delays.initial;
    return std::exchange(this->failing, false);
}

bool CallBackoff::onFailure(Milliseconds now)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    this->notBefore = now + this->delay * jitter(this->generator);
    this->delay = std::min(this->delay * 2, this->delays.maximum);
    return !std::exchange(this->failing, true);
}

} // namespace Toucan
