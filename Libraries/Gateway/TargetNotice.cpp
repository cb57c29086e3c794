#include "Gateway/TargetNotice.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/Timestamp.h>
#include <algorithm>
#include <cmath>

namespace Toucan {

using Poco::Net::HTTPResponse;

/// Longer waits are reduced to this one, so that one wrong number does not end the use of a target.
constexpr Milliseconds maximumWait { 600000 };
constexpr double millisecondsPerSecond = 1000;
constexpr double microsecondsPerMillisecond = 1000;

static std::optional<Poco::Timestamp> readDate(std::string const& text)
{
    Poco::DateTime date;
    int zone = 0;
    for (auto const& format : { Poco::DateTimeFormat::HTTP_FORMAT, Poco::DateTimeFormat::RFC850_FORMAT,
             Poco::DateTimeFormat::ASCTIME_FORMAT }) {
        if (Poco::DateTimeParser::tryParse(format, text, date, zone))
            return date.timestamp();
    }
    return std::nullopt;
}

static std::optional<Milliseconds> readWait(std::string const& text, HTTPResponse const& head)
{
    double seconds = 0;
    if (Poco::NumberParser::tryParseFloat(text, seconds))
        return Milliseconds { seconds * millisecondsPerSecond };
    auto const end = readDate(text);
    if (!end)
        return std::nullopt;
    auto const start = head.has("Date") ? readDate(head.get("Date")) : std::nullopt;
    return Milliseconds { static_cast<double>(*end - start.value_or(Poco::Timestamp())) / microsecondsPerMillisecond };
}

TargetNotice readNotice(HTTPResponse const& head, GatewayHeaders const& names)
{
    TargetNotice notice;
    if (head.getStatus() == HTTPResponse::HTTP_MISDIRECTED_REQUEST)
        return notice;
    notice.leaving = head.has(names.leaving);
    if (head.getStatus() != HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
        return notice;
    for (auto const& [name, value] : head) {
        if (Poco::icompare(name, names.retryAfter) != 0)
            continue;
        auto const wait = readWait(value, head);
        bool const usable = wait && !std::isnan(wait->value) && *wait > Milliseconds {};
        if (!usable || *wait > maximumWait)
            notice.unusableWait += (notice.unusableWait.empty() ? "" : ", ") + value;
        if (usable)
            notice.wait = std::max(notice.wait.value_or(*wait), std::min(*wait, maximumWait));
    }
    if (notice.wait)
        notice.wait = std::min(*notice.wait, maximumWait);
    return notice;
}

} // namespace Toucan
