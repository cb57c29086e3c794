#include "Engine/RequestMetrics.h"

namespace Toucan {

void RequestMetrics::record(std::string const& service, int status, Outcome outcome, Milliseconds total)
{
    auto& counts = this->services[service];
    ++counts.outcomes[std::string(toString(outcome))];
    ++counts.statuses[std::to_string(status)];
    ++counts.count;
    counts.sum += total.value;
    for (size_t index = 0; index < bounds.size(); ++index) {
        if (total <= bounds[index]) {
            ++counts.buckets[index];
            break;
        }
    }
}

Json::Value RequestMetrics::describe() const
{
    Json::Value result(Json::objectValue);
    for (auto const& [name, counts] : this->services) {
        auto& service = result["services"][name];
        for (auto const& [outcome, count] : counts.outcomes)
            service["outcomes"][outcome] = Json::UInt64 { count };
        for (auto const& [status, count] : counts.statuses)
            service["statuses"][status] = Json::UInt64 { count };
        auto& latency = service["latencyMs"];
        latency["buckets"] = Json::Value(Json::arrayValue);
        uint64_t cumulative = 0;
        for (size_t index = 0; index < bounds.size(); ++index) {
            cumulative += counts.buckets[index];
            Json::Value bucket;
            bucket["le"] = bounds[index].value;
            bucket["count"] = Json::UInt64 { cumulative };
            latency["buckets"].append(std::move(bucket));
        }
        latency["count"] = Json::UInt64 { counts.count };
        latency["sum"] = counts.sum;
    }
    return result;
}

} // namespace Toucan
