#include "Base/LatencyHistogram.h"

#include <algorithm>

namespace Toucan {

/// Number of logarithmic bins between minimumLatency and maximumLatency.
static constexpr unsigned binCount = 200;
static constexpr Milliseconds minimumLatency { 0.05 };
static constexpr Milliseconds maximumLatency { 60000 };
/// Number of values below which no quantile is estimated.
static constexpr double minimumCount = 20;
static constexpr Milliseconds cacheLifetime { 20 };

LatencyHistogram::Histogram LatencyHistogram::createHistogram()
{
    return boost::histogram::make_histogram(Axis(binCount, minimumLatency.value, maximumLatency.value));
}

LatencyHistogram::LatencyHistogram(Milliseconds period)
    : period(period)
    , histograms { createHistogram(), createHistogram() }
{
}

void LatencyHistogram::add(Milliseconds latency, Milliseconds now)
{
    if (now - this->rotatedAt >= this->period) {
        this->current = 1 - this->current;
        this->histograms[this->current].reset();
        this->counts[this->current] = 0;
        if (now - this->rotatedAt >= this->period * 2) {
            // No value was added for a complete period, so the other histogram is outdated as well.
            this->histograms[1 - this->current].reset();
            this->counts[1 - this->current] = 0;
        }
        this->rotatedAt = now;
    }
    this->histograms[this->current](std::clamp(latency, minimumLatency, maximumLatency * 0.999).value);
    this->counts[this->current] += 1;
}

std::optional<Milliseconds> LatencyHistogram::quantile(double ratio, Milliseconds now) const
{
    auto& cached = this->cache[ratio > 0.5 ? 1 : 0];
    if (cached.ratio == ratio && cached.value && now - cached.computedAt < cacheLifetime)
        return cached.value;
    cached = { ratio, now, this->computeQuantile(ratio) };
    return cached.value;
}

std::optional<Milliseconds> LatencyHistogram::computeQuantile(double ratio) const
{
    auto const total = this->counts[0] + this->counts[1];
    if (total < minimumCount)
        return std::nullopt;
    double sum = 0;
    auto const& axis = this->histograms[0].axis();
    for (int bin = 0; bin < axis.size(); ++bin) {
        sum += this->histograms[0].at(bin) + this->histograms[1].at(bin);
        if (sum >= ratio * total)
            return Milliseconds { axis.bin(bin).upper() };
    }
    return maximumLatency;
}

} // namespace Toucan
