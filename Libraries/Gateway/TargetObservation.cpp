#include "Gateway/TargetObservation.h"

#include "Base/Hash.h"
#include "Quarantine/RequestFingerprint.h"
#include <Poco/NumberFormatter.h>

namespace Toucan {

uint32_t hashTargetId(std::string_view target) { return static_cast<uint32_t>(hash64(target)); }

TargetObservation observationOf(TerminationReport const& report, Milliseconds age)
{
    TargetObservation observation;
    observation.target = fingerprintText(report.fingerprint) + "/"
        + (report.cleared ? "all" : Poco::NumberFormatter::formatHex(report.target));
    observation.age = age;
    observation.termination = report;
    return observation;
}

static std::string describe(TargetObservation const& observation)
{
    if (observation.termination)
        return observation.termination->cleared ? "cleared" : "terminated";
    if (observation.leaving)
        return "leaving";
    if (!observation.isAboutRateLimit())
        return Poco::NumberFormatter::format(observation.slowdown, 2);
    if (*observation.rateLimit == noRateLimit)
        return "no-limit";
    return "limit-" + Poco::NumberFormatter::format(*observation.rateLimit, 2);
}

std::string toString(std::span<TargetObservation const> observations)
{
    std::string text;
    for (auto const& observation : observations) {
        auto const name
            = observation.target.empty() ? Poco::NumberFormatter::formatHex(observation.idHash) : observation.target;
        text += (text.empty() ? "" : ",") + name + ":";
        text += describe(observation);
    }
    return text;
}

} // namespace Toucan
