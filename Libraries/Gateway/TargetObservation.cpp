#include "Gateway/TargetObservation.h"

#include <Poco/NumberFormatter.h>

namespace Toucan {

std::string toString(std::span<TargetObservation const> observations)
{
    std::string text;
    for (auto const& observation : observations) {
        text += (text.empty() ? "" : ",") + observation.target + ":";
        text += Poco::NumberFormatter::format(observation.slowdown, 2);
    }
    return text;
}

} // namespace Toucan
