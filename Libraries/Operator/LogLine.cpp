#include "Operator/LogLine.h"

#include <Poco/DateTime.h>
#include <Poco/NumberParser.h>
#include <array>
#include <cstdio>

namespace Toucan {

std::string_view LogLine::field(std::string_view name) const
{
    auto const found = this->fields.find(name);
    return found == this->fields.end() ? std::string_view {} : std::string_view(found->second);
}

double LogLine::number(std::string_view name) const
{
    double value = 0;
    return Poco::NumberParser::tryParseFloat(std::string(this->field(name)), value) ? value : 0;
}

std::string_view toString(LogLineFault fault)
{
    switch (fault) {
    case LogLineFault::NoEvent:
        return "no event";
    case LogLineFault::NoTime:
        return "no time";
    case LogLineFault::BrokenField:
        break;
    }
    return "broken field";
}

/// Reads the time that glog writes before the message: severity, date and time of day, as in "I20260102
/// 03:04:05.678901".
static std::optional<Milliseconds> parseTime(std::string_view prefix)
{
    constexpr size_t length = 25;
    for (size_t at = 0; at + length <= prefix.size(); ++at) {
        if (std::string_view("IWEF").find(prefix[at]) == std::string_view::npos || prefix[at + 9] != ' ')
            continue;
        std::array<char, length + 1> text {};
        prefix.copy(text.data(), length, at);
        int year = 0;
        int month = 0;
        int day = 0;
        int hour = 0;
        int minute = 0;
        double second = 0;
        if (std::sscanf(text.data() + 1, "%4d%2d%2d %2d:%2d:%lf", &year, &month, &day, &hour, &minute, &second) != 6)
            continue;
        if (!Poco::DateTime::isValid(year, month, day, hour, minute) || second < 0 || second >= 61)
            continue;
        Poco::DateTime const date(year, month, day, hour, minute);
        constexpr double microsecondsPerMillisecond = 1000;
        auto const start = static_cast<double>(date.timestamp().epochMicroseconds()) / microsecondsPerMillisecond;
        return Milliseconds { start + second * 1000 };
    }
    return std::nullopt;
}

/// Reads the fields "name=value" or "name="value"", separated by spaces. Returns false for a broken field.
static bool parseFields(std::string_view text, LogLine& line)
{
    while (!text.empty()) {
        auto const equals = text.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return false;
        std::string const name(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        bool const quoted = !text.empty() && text.front() == '"';
        if (quoted)
            text.remove_prefix(1);
        auto const end = text.find(quoted ? '"' : ' ');
        if (quoted && end == std::string_view::npos)
            return false;
        line.fields[name] = std::string(text.substr(0, end));
        text.remove_prefix(std::min(text.size(), end == std::string_view::npos ? text.size() : end + 1));
        while (!text.empty() && text.front() == ' ')
            text.remove_prefix(1);
    }
    return true;
}

std::optional<LogLine> parseLogLine(std::string_view text, LogLineFault& fault)
{
    constexpr std::string_view marker = "event=";
    auto const at = text.find(marker);
    if (at == std::string_view::npos) {
        fault = LogLineFault::NoEvent;
        return std::nullopt;
    }
    auto const time = parseTime(text.substr(0, at));
    if (!time) {
        fault = LogLineFault::NoTime;
        return std::nullopt;
    }
    LogLine line;
    line.time = *time;
    if (!parseFields(text.substr(at), line) || line.field("event").empty()) {
        fault = LogLineFault::BrokenField;
        return std::nullopt;
    }
    line.event = line.field("event");
    return line;
}

} // namespace Toucan
