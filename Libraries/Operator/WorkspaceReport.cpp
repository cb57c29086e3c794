#include "Operator/WorkspaceReport.h"

#include <Poco/NumberParser.h>
#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Toucan {

constexpr double nearShare = 0.8;
constexpr std::string_view prefix = "toucan_gateway_workspace_";
constexpr std::string_view labelStart = "{workspace=\"";
constexpr std::string_view labelEnd = "\"} ";

static std::string unescape(std::string_view text)
{
    std::string plain;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '\\' && index + 1 < text.size())
            ++index;
        plain += text[index];
    }
    return plain;
}

void WorkspaceReport::add(std::string_view metrics)
{
    std::istringstream lines { std::string(metrics) };
    for (std::string text; std::getline(lines, text);) {
        std::string_view const line(text);
        auto const label = line.find(labelStart);
        auto const end = line.rfind(labelEnd);
        bool const isAboutWorkspace = line.starts_with(prefix) && label != std::string_view::npos
            && end != std::string_view::npos && end >= label + labelStart.size();
        double value = 0;
        if (!isAboutWorkspace || !Poco::NumberParser::tryParseFloat(text.substr(end + labelEnd.size()), value))
            continue;
        auto const metric = line.substr(prefix.size(), label - prefix.size());
        auto const nameStart = label + labelStart.size();
        auto& row = this->workspaces[unescape(line.substr(nameStart, end - nameStart))];
        if (metric == "limit_per_second")
            row.limit = std::max(row.limit, value);
        else if (metric == "admitted_per_second")
            row.use += value;
        else if (metric == "limited_requests_total")
            row.requests += value;
        else if (metric == "refusals_exhausted_total" || metric == "refusals_unreachable_total")
            row.refused += value;
    }
}

std::string WorkspaceReport::table() const
{
    std::ostringstream text;
    text << std::left << std::setw(30) << "workspace" << std::right << std::setw(10) << "limit/s" << std::setw(10)
         << "use/s" << std::setw(8) << "share" << std::setw(12) << "requests" << std::setw(12) << "refused"
         << "\n";
    for (auto const& [name, row] : this->workspaces) {
        text << std::left << std::setw(30) << (name.empty() ? "(the rest)" : name) << std::right << std::fixed
             << std::setprecision(1) << std::setw(10) << row.limit << std::setw(10) << row.use << std::setprecision(2)
             << std::setw(8) << row.share() << std::setprecision(0) << std::setw(12) << row.requests << std::setw(12)
             << row.refused << (row.share() > nearShare ? "  near" : "") << "\n";
    }
    return text.str();
}

Json::Value WorkspaceReport::toJson() const
{
    Json::Value list(Json::arrayValue);
    for (auto const& [name, row] : this->workspaces) {
        Json::Value entry(Json::objectValue);
        entry["workspace"] = name;
        entry["limitPerSecond"] = row.limit;
        entry["usePerSecond"] = row.use;
        entry["share"] = row.share();
        entry["requests"] = row.requests;
        entry["refused"] = row.refused;
        entry["near"] = row.share() > nearShare;
        list.append(std::move(entry));
    }
    return list;
}

} // namespace Toucan
