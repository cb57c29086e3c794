#pragma once

#include "Quota/RateEstimate.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Toucan {

/// What one node did for one limit since the limit came into force there.
struct QuotaUsage {
    uint64_t requests { 0 };
    uint64_t exhausted { 0 };
    uint64_t unreachable { 0 };
    uint64_t granted { 0 };
    uint64_t expired { 0 };
    uint64_t asks { 0 };
    /// Requests that got a token.
    RateEstimate admitted {};
};

/// The usage of a limit for the metrics.
struct NamedQuotaUsage {
    std::string_view limit;
    double ratePerSecond { 0 };
    QuotaUsage const* usage { nullptr };
};

/// Metrics in the Prometheus text format, with the label "workspace", for the 20 limits with the most requests, and the
/// sums of the rest with an empty label. Limits without requests are left out.
std::string quotaUsageText(std::span<NamedQuotaUsage> usages, Milliseconds now);

} // namespace Toucan
