#include "Gateway/GatewayMetrics.h"

#include <array>
#include <sstream>

namespace Toucan {

void GatewayMetrics::count(std::string_view name, uint64_t number)
{
    if (auto const found = this->counters.find(name); found != this->counters.end())
        found->second += number;
    else
        this->counters.emplace(name, number);
}

uint64_t GatewayMetrics::value(std::string_view name) const
{
    auto const found = this->counters.find(name);
    return found == this->counters.end() ? 0 : found->second;
}

void GatewayMetrics::observe(std::string const& route, Milliseconds latency, Milliseconds now)
{
    auto& latencies = this->latenciesByRoute[route];
    latencies.recent.add(latency, now);
    ++latencies.count;
    latencies.sum += latency;
}

std::string GatewayMetrics::text(Milliseconds now) const
{
    constexpr std::array quantiles { 0.5, 0.9, 0.99 };
    std::ostringstream out;
    for (auto const& [name, value] : this->counters)
        out << "toucan_gateway_" << name << "_total " << value << '\n';
    for (auto const& [route, latencies] : this->latenciesByRoute) {
        for (auto const quantile : quantiles) {
            if (auto const value = latencies.recent.quantile(quantile, now))
                out << "toucan_gateway_latency_ms{route=\"" << route << "\",quantile=\"" << quantile << "\"} "
                    << value->value << '\n';
        }
        out << "toucan_gateway_latency_ms_sum{route=\"" << route << "\"} " << latencies.sum.value << '\n'
            << "toucan_gateway_latency_ms_count{route=\"" << route << "\"} " << latencies.count << '\n';
    }
    return out.str();
}

} // namespace Toucan
