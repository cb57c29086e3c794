#pragma once

#include "Base/Clock.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <tuple>

namespace Toucan::Bench {

/// Latencies in bins of about 1.2% width from 0.01 ms to 100 s; values outside count in the first or last bin.
class LatencyHistogram {
public:
    void add(Milliseconds latency)
    {
        this->bins(std::clamp(latency.value, minimumMilliseconds, maximumMilliseconds * (1 - edgeMargin)));
        ++this->total;
    }

    /// Upper edge of the bin that holds the quantile (0 to 1); zero without samples.
    Milliseconds quantile(double share) const
    {
        auto const wanted = share * static_cast<double>(this->total);
        double seen = 0;
        for (auto const& bin : boost::histogram::indexed(this->bins)) {
            seen += *bin;
            if (this->total && seen >= wanted && *bin > 0)
                return { bin.bin().upper() };
        }
        return {};
    }

    uint64_t count() const { return this->total; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static constexpr unsigned binCount = 1400;
    static constexpr double minimumMilliseconds = 0.01;
    static constexpr double maximumMilliseconds = 100000;
    /// Keeps clamped values below the upper edge of the last bin, which is exclusive.
    static constexpr double edgeMargin = 1e-9;

    boost::histogram::histogram<std::tuple<Axis>> bins { boost::histogram::make_histogram(
        Axis(binCount, minimumMilliseconds, maximumMilliseconds)) };
    uint64_t total { 0 };
};

} // namespace Toucan::Bench
