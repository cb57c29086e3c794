#pragma once

#include "Configuration/Configuration.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Toucan {

/// Good and total requests over a sliding time window, in buckets of equal width.
class SlidingCounter {
public:
    SlidingCounter(Milliseconds window, size_t buckets);

    void add(bool good, Milliseconds now);
    uint64_t good(Milliseconds now) const;
    uint64_t total(Milliseconds now) const;

private:
    struct Bucket {
        /// Number of the bucket's time interval since time zero; -1 while the bucket is unused.
        int64_t number { -1 };
        uint64_t good { 0 };
        uint64_t total { 0 };
    };

    int64_t bucketNumber(Milliseconds now) const;
    uint64_t sum(uint64_t Bucket::*member, Milliseconds now) const;

    Milliseconds bucketWidth;
    std::vector<Bucket> buckets;
};

/// Counts requests that met or missed their service's objective, for the error-budget burn report. The counts are lost
/// when the process ends; the report sums them over all nodes.
class BurnTracker {
public:
    void record(std::string const& service, bool good, Milliseconds now);
    /// {"SERVICE": {"objective": {...}, "windows": {"5m": {"good", "total"}, ...}}}
    Json::Value describe(Configuration const& configuration, Milliseconds now) const;

private:
    struct Windows {
        SlidingCounter fiveMinutes { 300'000_ms, 30 };
        SlidingCounter hour { 3'600'000_ms, 60 };
        SlidingCounter sixHours { 21'600'000_ms, 72 };
        SlidingCounter threeDays { 259'200'000_ms, 72 };
    };

    std::map<std::string, Windows> services;
};

} // namespace Toucan
