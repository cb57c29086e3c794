#pragma once

#include "Configuration/Configuration.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace Toucan {

/// Use of each service's error budget over several windows, summed over nodes. The burn rate is the share of bad
/// requests divided by the share that the objective allows; 1 uses up the budget exactly at the end of its period.
/// Alert levels follow "Alerting on SLOs" in the Site Reliability Workbook (multiwindow, multi-burn-rate).
class BurnReport {
public:
    enum class Level {
        Fine,
        Ticket,
        Page,
    };
    struct Count {
        uint64_t good { 0 };
        uint64_t total { 0 };
    };
    struct Service {
        /// Strictest objective that any node has.
        Objective objective;
        /// Window ("5m", "1h", "6h", "3d") to count.
        std::map<std::string, Count> windows;
    };

    /// Adds a node's answer to the method "burn". Throws Error of kind ProtocolViolation, and adds nothing, when the
    /// answer has another shape.
    void add(std::string const& node, Json::Value const& answer);
    /// The report is then marked as incomplete.
    void addMissingNode(std::string const& node, std::string const& reason);

    std::map<std::string, Service> const& services() const { return this->serviceBurns; }
    std::map<std::string, std::string> const& missingNodes() const { return this->missing; }
    /// 0 when the window has no requests.
    static double burnRate(Service const& service, std::string const& window);
    static Level level(Service const& service);
    bool anyAlert() const;
    /// Text table for a terminal.
    std::string table() const;
    Json::Value toJson() const;
    /// One self-contained page. `time` is shown as the time of the report.
    std::string toHtml(std::string const& time) const;

private:
    std::vector<std::string> answered;
    std::map<std::string, Service> serviceBurns;
    std::map<std::string, std::string> missing;
};

std::string_view toString(BurnReport::Level level);

} // namespace Toucan
