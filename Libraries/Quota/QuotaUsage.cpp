#include "Quota/QuotaUsage.h"

#include <algorithm>
#include <sstream>

namespace Toucan {

/// Bounds the number of time series of a metrics database.
constexpr size_t maximumNamedLimits = 20;
constexpr std::string_view workspacePrefix = "workspace:";

namespace {

    struct Totals {
        QuotaUsage counts;
        double limit { 0 };
        double rate { 0 };
    };

    void add(Totals& totals, NamedQuotaUsage const& entry, Milliseconds now)
    {
        auto& counts = totals.counts;
        counts.requests += entry.usage->requests;
        counts.exhausted += entry.usage->exhausted;
        counts.unreachable += entry.usage->unreachable;
        counts.granted += entry.usage->granted;
        counts.expired += entry.usage->expired;
        counts.asks += entry.usage->asks;
        totals.limit += entry.ratePerSecond;
        totals.rate += entry.usage->admitted.perSecond(now);
    }

    /// Label values escape backslash, quote and line feed (Prometheus text format).
    std::string escape(std::string_view text)
    {
        std::string escaped;
        for (auto const character : text) {
            if (character == '\\' || character == '"')
                escaped += '\\';
            escaped += character == '\n' ? ' ' : character;
        }
        return escaped;
    }

    void write(std::ostream& out, std::string_view name, Totals const& totals)
    {
        auto const line = [&out, label = escape(name)](char const* metric, auto value) {
            out << "toucan_gateway_workspace_" << metric << "{workspace=\"" << label << "\"} " << value << '\n';
        };
        line("limited_requests_total", totals.counts.requests);
        line("refusals_exhausted_total", totals.counts.exhausted);
        line("refusals_unreachable_total", totals.counts.unreachable);
        line("tokens_granted_total", totals.counts.granted);
        line("tokens_expired_total", totals.counts.expired);
        line("asks_total", totals.counts.asks);
        line("limit_per_second", totals.limit);
        line("admitted_per_second", totals.rate);
    }

} // namespace

std::string quotaUsageText(std::span<NamedQuotaUsage> usages, Milliseconds now)
{
    std::sort(usages.begin(), usages.end(), [](NamedQuotaUsage const& first, NamedQuotaUsage const& second) {
        return std::pair(second.usage->requests, first.limit) < std::pair(first.usage->requests, second.limit);
    });
    std::ostringstream out;
    Totals rest;
    bool hasRest = false;
    for (size_t index = 0; index < usages.size() && usages[index].usage->requests > 0; ++index) {
        auto name = usages[index].limit;
        if (name.starts_with(workspacePrefix))
            name.remove_prefix(workspacePrefix.size());
        hasRest = index >= maximumNamedLimits;
        Totals own;
        add(hasRest ? rest : own, usages[index], now);
        if (!hasRest)
            write(out, name, own);
    }
    if (hasRest)
        write(out, "", rest);
    return out.str();
}

} // namespace Toucan
