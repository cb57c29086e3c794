#pragma once

#include "Base/Clock.h"

#include <optional>

namespace Toucan {

/// Estimate of the present processing time of a target, as a ratio to the usual one, from the values that it reports.
/// Between reports, an abnormal value decays towards the last normal one, with a time constant equal to the time for
/// which it has been observed: most disturbances are short, and those that have lasted tend to continue.
class ReportedSlowdown {
public:
    /// Adds a value that the target reported at `at`; a value that is older than the last one is ignored.
    void add(double value, Milliseconds at);
    /// Empty when the target has reported nothing.
    std::optional<double> expected(Milliseconds now) const;

private:
    std::optional<double> latest;
    /// Last normal value.
    double normal { 1 };
    /// Time of `latest`.
    Milliseconds at;
    /// Time of the first of the latest consecutive abnormal values; empty when the last value is normal.
    std::optional<Milliseconds> abnormalSince;
};

} // namespace Toucan
