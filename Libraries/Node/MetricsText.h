#pragma once

#include <json/value.h>
#include <map>
#include <string>

namespace Toucan {

/// Prometheus text format 0.0.4. Numbers and booleans of the engine's view become metrics named after their path, as
/// in toucan_coordinator_running; names in the members of collections become a label.
std::string writeMetrics(std::map<std::string, double> const& counters, Json::Value const& view);

} // namespace Toucan
