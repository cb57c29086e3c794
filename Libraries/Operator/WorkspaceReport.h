#pragma once

#include <json/value.h>
#include <map>
#include <string>
#include <string_view>

namespace Toucan {

/// Use of the workspaces' limits, summed over the metrics of gateway nodes.
class WorkspaceReport {
public:
    struct Row {
        /// Requests per second that all nodes together may run; the greatest that any node states.
        double limit { 0 };
        /// Requests per second that got a token in the last seconds.
        double use { 0 };
        double requests { 0 };
        double refused { 0 };

        double share() const { return this->limit > 0 ? this->use / this->limit : 0; }
    };

    /// Adds the metrics of one node in the Prometheus text format; other metrics are ignored.
    void add(std::string_view metrics);
    /// By name; workspaces that a node only counts in the sum of the rest have an empty name.
    std::map<std::string, Row> const& rows() const { return this->workspaces; }
    /// Workspaces above 0.8 of their limit are marked "near".
    std::string table() const;
    Json::Value toJson() const;

private:
    std::map<std::string, Row> workspaces;
};

} // namespace Toucan
