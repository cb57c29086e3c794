#pragma once

#include "Base/Clock.h"
#include "Base/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Toucan {

/// Counters and latencies of one gateway, exported in the Prometheus text format.
class GatewayMetrics {
public:
    /// Counts an event; `name` is one of the names in docs/OPERATIONS.md.
    void count(std::string_view name, uint64_t number = 1);
    uint64_t value(std::string_view name) const;
    void observe(std::string const& route, Milliseconds latency, Milliseconds now);
    std::string text(Milliseconds now) const;

private:
    struct Latencies {
        LatencyHistogram recent;
        uint64_t count { 0 };
        Milliseconds sum;
    };

    std::map<std::string, uint64_t, std::less<>> counters;
    std::map<std::string, Latencies> latenciesByRoute;
};

} // namespace Toucan
