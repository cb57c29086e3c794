#pragma once

#include "Base/Clock.h"

#include <optional>

namespace Toucan {

/// What a target says of how long work takes on its machine, as a ratio to the usual time, and what to expect of it
/// while it says nothing new. An unusual value is believed for about as long as it has been seen, because most
/// disturbances are short and those that last tend to last on.
class ReportedSlowdown {
public:
    /// Takes a value that the target gave at `at`; one that is older than the last is ignored.
    void add(double value, Milliseconds at);
    /// Empty when the target has reported nothing.
    std::optional<double> expected(Milliseconds now) const;

private:
    std::optional<double> latest;
    double usual { 1 };
    Milliseconds at;
    /// First of the unusual values in a row.
    std::optional<Milliseconds> unusualSince;
};

} // namespace Toucan
