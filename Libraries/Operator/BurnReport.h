#pragma once

#include "Configuration/Configuration.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace Toucan {

/// Error budget consumption of each service over several windows, summed over nodes. The burn rate is the share of bad
/// requests divided by the share that the objective allows; 1 uses up the budget exactly at the end of its period.
/// Alert levels follow "Alerting on SLOs" in the Site Reliability Workbook (multiwindow, multi-burn-rate).
class BurnReport {
public:
    enum class Level {
        Ok,
        Ticket,
        Page,
    };
    struct Count {
        uint64_t good { 0 };
        uint64_t total { 0 };
    };
    struct Service {
        /// Strictest objective reported by any node.
        Objective objective;
        /// Window ("5m", "1h", "6h", "3d") to count.
        std::map<std::string, Count> windows;
    };

    /// Adds a node's response to the method "burn". Throws Error of kind ProtocolViolation, and adds nothing, if the
    /// response is malformed.
    void add(std::string const& node, Json::Value const& answer);
    /// Marks the report as incomplete.
    void addMissingNode(std::string const& node, std::string const& reason);

    std::map<std::string, Service> const& services() const { return this->serviceTotals; }
    std::map<std::string, std::string> const& missingNodes() const { return this->missingNodeReasons; }
    /// 0 if the window has no requests.
    static double burnRate(Service const& service, std::string const& window);
    static Level level(Service const& service);
    bool anyAlert() const;
    /// Plain-text table.
    std::string table() const;
    Json::Value toJson() const;
    /// Self-contained HTML page. `time` is shown as the time of the report.
    std::string toHtml(std::string const& time) const;

private:
    std::vector<std::string> respondingNodes;
    std::map<std::string, Service> serviceTotals;
    std::map<std::string, std::string> missingNodeReasons;
};

std::string_view toString(BurnReport::Level level);

} // namespace Toucan
