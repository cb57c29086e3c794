#include "Engine/BurnTracker.h"

#include <cmath>

namespace Toucan {

SlidingCounter::SlidingCounter(Milliseconds window, size_t bucketCount)
    : bucketWidth(window * (1.0 / static_cast<double>(bucketCount)))
    , buckets(bucketCount)
{
}

int64_t SlidingCounter::bucketNumber(Milliseconds now) const
{
    return static_cast<int64_t>(std::floor(now.value / this->bucketWidth.value));
}

void SlidingCounter::add(bool isGood, Milliseconds now)
{
    auto const number = this->bucketNumber(now);
    auto& bucket = this->buckets[static_cast<size_t>(number) % this->buckets.size()];
    if (bucket.number != number)
        bucket = { number, 0, 0 };
    ++bucket.total;
    if (isGood)
        ++bucket.good;
}

uint64_t SlidingCounter::sum(uint64_t Bucket::*member, Milliseconds now) const
{
    auto const newest = this->bucketNumber(now);
    auto const oldest = newest - static_cast<int64_t>(this->buckets.size()) + 1;
    uint64_t sum = 0;
    for (auto const& bucket : this->buckets) {
        if (bucket.number >= oldest && bucket.number <= newest)
            sum += bucket.*member;
    }
    return sum;
}

uint64_t SlidingCounter::good(Milliseconds now) const { return this->sum(&Bucket::good, now); }
uint64_t SlidingCounter::total(Milliseconds now) const { return this->sum(&Bucket::total, now); }

void BurnTracker::record(std::string const& service, bool good, Milliseconds now)
{
    auto& windows = this->services[service];
    windows.fiveMinutes.add(good, now);
    windows.hour.add(good, now);
    windows.sixHours.add(good, now);
    windows.threeDays.add(good, now);
}

static Json::Value describeCounter(SlidingCounter const& counter, Milliseconds now)
{
    Json::Value value;
    value["good"] = static_cast<Json::UInt64>(counter.good(now));
    value["total"] = static_cast<Json::UInt64>(counter.total(now));
    return value;
}

Json::Value BurnTracker::describe(Configuration const& configuration, Milliseconds now) const
{
    Json::Value result(Json::objectValue);
    for (auto const& [name, windows] : this->services) {
        auto const* service = configuration.service(name);
        if (!service)
            continue;
        auto const& objective = configuration.ruleOf(*service).objective;
        auto& entry = result[name];
        entry["objective"]["latencyMs"] = objective.latency.value;
        entry["objective"]["ratio"] = objective.ratio;
        entry["windows"]["5m"] = describeCounter(windows.fiveMinutes, now);
        entry["windows"]["1h"] = describeCounter(windows.hour, now);
        entry["windows"]["6h"] = describeCounter(windows.sixHours, now);
        entry["windows"]["3d"] = describeCounter(windows.threeDays, now);
    }
    return result;
}

} // namespace Toucan
