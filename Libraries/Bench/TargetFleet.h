#pragma once

#include "Bench/TargetStandIn.h"

#include <json/value.h>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Toucan::Bench {

/// All target stand-ins of one process, their history and their HTTP control.
class TargetFleet {
public:
    /// `settings`: {"control","history","seed","targets":[..]}. Throws Error of kind InvalidSettings or Unavailable,
    /// and Json::Exception when a member has a wrong type.
    TargetFleet(BenchLoop& loop, Json::Value const& settings);

private:
    void onControl(std::shared_ptr<HttpSession> const& session, HttpRequest const& request);
    void flushPeriodically();

    BenchLoop& loop;
    HistoryWriter history;
    std::map<std::string, std::unique_ptr<TargetStandIn>> targets;
    std::unique_ptr<StreamListener> controlListener;
};

} // namespace Toucan::Bench
