#pragma once

#include "Base/Clock.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Moving average of a rate of events, with exponentially decreasing weights.
class RateEstimate {
public:
    void add(Milliseconds now)
    {
        this->average = this->perSecond(now) + 1 / timeConstantSeconds;
        this->at = now;
    }
    /// Events per second.
    double perSecond(Milliseconds now) const
    {
        auto const seconds = std::max((now - this->at).value, 0.0) / 1000;
        return this->average * std::exp(-seconds / timeConstantSeconds);
    }
    Milliseconds lastEvent() const { return this->at; }

private:
    static constexpr double timeConstantSeconds = 1;

    double average { 0 };
    Milliseconds at;
};

} // namespace Toucan
