#pragma once

#include "Base/Clock.h"

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Toucan {

/// Structured log lines of the form `event=NAME key=value ...` with a bound on their rate. Lines above the bound are
/// counted, and the count is written with the next line that passes.
class DecisionLog {
public:
    using Field = std::pair<std::string_view, std::string>;
    enum class Weight {
        /// Dropped when there are too many lines.
        Bounded,
        /// Always written: start, stop, reload, dependencies lost and regained.
        Always,
    };

    /// `write` must not block.
    DecisionLog(std::function<void(std::string const& line)> write, std::function<Milliseconds()> now);

    void line(std::string_view event, std::initializer_list<Field> fields, Weight weight = Weight::Bounded);

private:
    bool takeRoom();

    std::function<void(std::string const&)> write;
    std::function<Milliseconds()> now;
    double room;
    Milliseconds filled;
    uint64_t dropped { 0 };
    uint64_t reported { 0 };
};

} // namespace Toucan
