#include "Gateway/TargetNotice.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeParser.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/Timestamp.h>
#include <algorithm>
#include <cmath>
#include <limits>

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
    // The form is detected by the text: with a given format, POCO's parser reads a year of two digits as one of the
    // first century.
    if (!Poco::DateTimeParser::tryParse(text, date, zone))
        return std::nullopt;
    date.makeUTC(zone);
    return date.timestamp();
}

static std::optional<Milliseconds> readWait(std::string const& text, HTTPResponse const& head)
{
    double seconds = 0;
    if (Poco::NumberParser::tryParseFloat(text, seconds))
        return Milliseconds { seconds * millisecondsPerSecond };
    // A number beyond the range of double.
    if (!text.empty() && text.find_first_not_of("0123456789") == std::string::npos)
        return Milliseconds { std::numeric_limits<double>::infinity() };
    auto const end = readDate(text);
    if (!end)
        return std::nullopt;
    auto const start = head.has("Date") ? readDate(head.get("Date")) : std::nullopt;
    return Milliseconds { static_cast<double>(*end - start.value_or(Poco::Timestamp())) / microsecondsPerMillisecond };
}

static void appendUnusable(std::string& list, std::string const& value) { list += (list.empty() ? "" : ", ") + value; }

static void readRateLimit(TargetNotice& notice, HTTPResponse const& head, GatewayHeaders const& names)
{
    for (auto const& [name, value] : head) {
        if (Poco::icompare(name, names.rateLimit) != 0)
            continue;
        double limit = 0;
        if (Poco::NumberParser::tryParseFloat(value, limit) && std::isfinite(limit) && limit >= 0)
            notice.rateLimit = std::min(notice.rateLimit.value_or(limit), limit);
        else
            appendUnusable(notice.unusableRateLimit, value);
    }
}

TargetNotice readNotice(HTTPResponse const& head, GatewayHeaders const& names)
{
    TargetNotice notice;
    if (head.getStatus() == HTTPResponse::HTTP_MISDIRECTED_REQUEST)
        return notice;
    notice.leaving = head.has(names.leaving);
    readRateLimit(notice, head, names);
    if (head.getStatus() != HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
        return notice;
    for (auto const& [name, value] : head) {
        if (Poco::icompare(name, names.retryAfter) != 0)
            continue;
        auto const wait = readWait(value, head);
        bool const usable = wait && !std::isnan(wait->value) && *wait > Milliseconds {};
        if (!usable || *wait > maximumWait)
            appendUnusable(notice.unusableWait, value);
        if (usable)
            notice.wait = std::max(notice.wait.value_or(*wait), std::min(*wait, maximumWait));
    }
    if (notice.wait)
        notice.wait = std::min(*notice.wait, maximumWait);
    return notice;
}

} // namespace Toucan
