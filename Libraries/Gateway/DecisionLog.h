#pragma once

#include "Base/Clock.h"

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Toucan {

/// Structured log lines of the form `event=NAME key=value ...` with a limited rate (token bucket). Lines above the
/// limit are dropped and counted, and the count is written with the next line that is not dropped.
class DecisionLog {
public:
    using Field = std::pair<std::string_view, std::string>;
    enum class Delivery {
        /// Dropped when the rate limit is exceeded.
        RateLimited,
        /// Always written: start, stop, reload, dependencies lost and regained.
        Always,
    };

    /// `write` must not block.
    DecisionLog(std::function<void(std::string const& line)> write, std::function<Milliseconds()> now);

    /// Values are cut to 200 bytes and quoted unless they consist of visible ASCII characters without '"' and '='. In
    /// quoted values, '"' and characters that are not printable ASCII become '?'.
    void line(std::string_view event, std::initializer_list<Field> fields, Delivery delivery = Delivery::RateLimited);

private:
    bool takeToken();

    std::function<void(std::string const&)> write;
    std::function<Milliseconds()> now;
    double tokens;
    Milliseconds refilledAt;
    uint64_t dropped { 0 };
    uint64_t reportedDrops { 0 };
};

} // namespace Toucan
