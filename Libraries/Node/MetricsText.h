#pragma once

#include <json/value.h>
#include <map>
#include <string>

namespace Toucan {

/// Prometheus text format 0.0.4. Numbers and booleans of the engine's view become gauges named after their path, as in
/// toucan_coordinator_pending_attempts; names in the members of collections become a label. Members of "counters" and
/// "frames" become counters, as in toucan_carrier_sent_total. "requests" (see RequestMetrics) becomes counters and a
/// latency histogram for each service, and "members" also a count of peers by state.
std::string writeMetrics(std::map<std::string, double> const& counters, Json::Value const& view);

} // namespace Toucan
