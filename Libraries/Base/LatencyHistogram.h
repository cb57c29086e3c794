#pragma once

#include "Base/Clock.h"

#include <array>
#include <boost/histogram.hpp>
#include <optional>

namespace Toucan {

/// Quantiles of recent latencies. Two histograms alternate when values are added, so that a value is counted for one to
/// two periods. While no values are added, the old ones are kept.
class LatencyHistogram {
public:
    explicit LatencyHistogram(Milliseconds period = 5000_ms);

    void add(Milliseconds latency, Milliseconds now);
    /// Empty while there are too few values for an estimate. The result may be up to 20 ms old.
    std::optional<Milliseconds> quantile(double ratio, Milliseconds now) const;
    /// Number of values that are counted: those of one to two periods before the newest value.
    double count() const { return this->counts[0] + this->counts[1]; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
    struct Cached {
        double ratio { -1 };
        Milliseconds computedAt;
        std::optional<Milliseconds> value;
    };

    static Histogram createHistogram();
    std::optional<Milliseconds> computeQuantile(double ratio) const;

    Milliseconds period;
    Milliseconds rotatedAt;
    std::array<Histogram, 2> histograms;
    std::array<double, 2> counts { 0, 0 };
    size_t current { 0 };
    /// Quantiles are queried for every part; scanning the bins each time would cost more than the part itself.
    /// The first entry is for ratios up to 0.5, the second for greater ones.
    mutable std::array<Cached, 2> cache;
};

} // namespace Toucan
