#pragma once

#include "Base/Clock.h"
#include "Base/Outcome.h"

#include <array>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>

namespace Toucan {

/// Counts of a node's answers to its callers, for each service. The counters are monotonic, as scrapers expect.
class RequestMetrics {
public:
    /// Upper bounds of the latency buckets; the last bucket, without a bound, is not listed.
    static constexpr std::array<Milliseconds, 14> bounds { 1_ms, 2_ms, 5_ms, 10_ms, 20_ms, 30_ms, 40_ms, 59_ms, 80_ms,
        120_ms, 250_ms, 500_ms, 1000_ms, 5000_ms };

    /// `service` must be a configured name, so that callers cannot create metric series.
    void record(std::string const& service, int status, Outcome outcome, Milliseconds total);
    /// Member "services" with, for each name, "outcomes" (counts), "statuses" (counts) and "latencyMs" (a histogram
    /// with "buckets" of cumulative counts by upper bound, "sum" and "count").
    Json::Value describe() const;

private:
    struct ServiceCounts {
        std::map<std::string, uint64_t> outcomes;
        std::map<std::string, uint64_t> statuses;
        std::array<uint64_t, bounds.size()> buckets {};
        uint64_t count { 0 };
        double sum { 0 };
    };

    std::map<std::string, ServiceCounts> services;
};

} // namespace Toucan
