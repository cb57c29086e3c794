#include "Node/CallGate.h"

#include <algorithm>
#include <utility>

namespace Toucan {

bool CallGate::onSuccess()
{
    this->pause = this->pauses.first;
    return std::exchange(this->failing, false);
}

bool CallGate::onFailure(Milliseconds now)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    this->notBefore = now + this->pause * jitter(this->generator);
    this->pause = std::min(this->pause * 2, this->pauses.longest);
    return !std::exchange(this->failing, true);
}

} // namespace Toucan
