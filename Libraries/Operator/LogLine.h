#pragma once

#include "Base/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

/// One decision that a gateway logged. Names and fields: docs/OPERATIONS.md.
struct LogLine {
    /// Time of day in the node's clock, since 1970-01-01.
    Milliseconds time;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;

    /// Empty when the line has no such field.
    std::string_view field(std::string_view name) const;
    /// 0 when the field is absent or no number.
    double number(std::string_view name) const;
};

enum class LogLineFault {
    /// The line holds no decision, for example because another program wrote it.
    NoEvent,
    /// The time before the event is missing or can't be read.
    NoTime,
    /// A field has no name or no end, as after a write that was cut off.
    BrokenField,
};

std::string_view toString(LogLineFault fault);

/// Reads a line of a gateway's log; anything may precede the time of glog. On failure, sets `fault`.
std::optional<LogLine> parseLogLine(std::string_view text, LogLineFault& fault);

} // namespace Toucan
