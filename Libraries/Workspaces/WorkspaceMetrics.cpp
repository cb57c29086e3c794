#include "Workspaces/WorkspaceMetrics.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace Toucan {

constexpr size_t maximumWorkspaces = 10000;
constexpr size_t listedWorkspaces = 20;

/// Names of the metrics, in the order of WorkspaceMetrics::Event.
constexpr std::array<std::string_view, 2> metricNames { "requests", "refused_capacity" };

void WorkspaceMetrics::count(std::string_view workspace, Event event, uint64_t number)
{
    auto const index = static_cast<size_t>(event);
    auto found = this->byWorkspace.find(workspace);
    if (found == this->byWorkspace.end()) {
        if (this->byWorkspace.size() >= maximumWorkspaces) {
            this->others[index] += number;
            return;
        }
        found = this->byWorkspace.emplace(workspace, Counters {}).first;
    }
    found->second[index] += number;
}

uint64_t WorkspaceMetrics::value(std::string_view workspace, Event event) const
{
    auto const found = this->byWorkspace.find(workspace);
    return found == this->byWorkspace.end() ? 0 : found->second[static_cast<size_t>(event)];
}

/// Escapes a label value of the Prometheus text format.
static std::string escaped(std::string_view text)
{
    std::string result;
    for (char const character : text) {
        if (character == '"' || character == '\\')
            result += '\\';
        result += character;
    }
    return result;
}

std::string WorkspaceMetrics::text() const
{
    if (this->byWorkspace.empty())
        return {};
    std::vector<std::pair<std::string_view, Counters const*>> sorted;
    for (auto const& [name, counters] : this->byWorkspace)
        sorted.emplace_back(name, &counters);
    auto const listed = std::min(listedWorkspaces, sorted.size());
    std::partial_sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(listed), sorted.end(),
        [](auto const& left, auto const& right) {
            return std::pair(right.second->front(), left.first) < std::pair(left.second->front(), right.first);
        });
    auto rest = this->others;
    for (size_t index = listed; index < sorted.size(); ++index) {
        for (size_t event = 0; event < eventCount; ++event)
            rest[event] += (*sorted[index].second)[event];
    }
    std::ostringstream out;
    for (size_t event = 0; event < eventCount; ++event) {
        auto const metric = "toucan_gateway_workspace_" + std::string(metricNames[event]);
        for (size_t index = 0; index < listed; ++index)
            out << metric << "_total{workspace=\"" << escaped(sorted[index].first) << "\"} "
                << (*sorted[index].second)[event] << '\n';
        out << metric << "_others_total " << rest[event] << '\n';
    }
    return out.str();
}

} // namespace Toucan
