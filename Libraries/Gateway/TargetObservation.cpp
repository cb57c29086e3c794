#include "Gateway/TargetObservation.h"

#include "Base/Hash.h"
#include <Poco/NumberFormatter.h>

namespace Toucan {

uint32_t hashTargetId(std::string_view target) { return static_cast<uint32_t>(hash64(target)); }

std::string toString(std::span<TargetObservation const> observations)
{
    std::string text;
    for (auto const& observation : observations) {
        auto const name
            = observation.target.empty() ? Poco::NumberFormatter::formatHex(observation.idHash) : observation.target;
        text += (text.empty() ? "" : ",") + name + ":";
        text += observation.leaving ? "leaving" : Poco::NumberFormatter::format(observation.slowdown, 2);
    }
    return text;
}

} // namespace Toucan
