#include "Operator/BurnReport.h"

#include "Base/Error.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace Toucan {

static constexpr std::array<std::string_view, 4> windowNames { "5m", "1h", "6h", "3d" };

namespace {

    /// Alerts when the burn rates of both windows exceed the factor; the short window resets the alert soon after the
    /// cause has ended.
    struct AlertRule {
        std::string_view longWindow;
        std::string_view shortWindow;
        double factor;
        BurnReport::Level level;
    };

} // namespace

// Site Reliability Workbook, chapter 5, for a budget period of 30 days. The workbook pairs 6h with 30m; nodes have no
// such window, and 1h is the next longer one.
static constexpr std::array<AlertRule, 3> alertRules { {
    { "1h", "5m", 14.4, BurnReport::Level::Page },
    { "6h", "1h", 6, BurnReport::Level::Page },
    { "3d", "6h", 1, BurnReport::Level::Ticket },
} };

std::string_view toString(BurnReport::Level level)
{
    switch (level) {
    case BurnReport::Level::Page:
        return "page";
    case BurnReport::Level::Ticket:
        return "ticket";
    case BurnReport::Level::Ok:
        break;
    }
    return "ok";
}

static Error malformedResponse(std::string const& node, std::string const& what)
{
    return { ErrorKind::ProtocolViolation, "Node " + node + " answered \"burn\" with " + what,
        "Check that the node runs a version that this tgctl knows" };
}

static BurnReport::Service readService(std::string const& node, Json::Value const& value)
{
    if (!value.isObject() || !value["objective"].isObject() || !value["windows"].isObject())
        throw malformedResponse(node, "a service without objective or windows");
    BurnReport::Service service;
    auto const& objective = value["objective"];
    if (!objective["latencyMs"].isNumeric() || !objective["ratio"].isNumeric())
        throw malformedResponse(node, "an objective without latencyMs or ratio");
    service.objective = { { objective["latencyMs"].asDouble() }, objective["ratio"].asDouble() };
    for (auto const& window : value["windows"].getMemberNames()) {
        auto const& counts = value["windows"][window];
        if (!counts.isObject() || !counts["good"].isUInt64() || !counts["total"].isUInt64()
            || counts["good"].asUInt64() > counts["total"].asUInt64())
            throw malformedResponse(node, "a window without valid counts");
        service.windows[window] = { counts["good"].asUInt64(), counts["total"].asUInt64() };
    }
    return service;
}

void BurnReport::add(std::string const& node, Json::Value const& answer)
{
    if (!answer.isObject() || !answer["services"].isObject())
        throw malformedResponse(node, "no services");
    std::map<std::string, Service> added;
    for (auto const& name : answer["services"].getMemberNames())
        added[name] = readService(node, answer["services"][name]);
    for (auto const& [name, service] : added) {
        auto& sum = this->serviceTotals.try_emplace(name, Service { service.objective, {} }).first->second;
        sum.objective.latency = std::min(sum.objective.latency, service.objective.latency);
        sum.objective.ratio = std::max(sum.objective.ratio, service.objective.ratio);
        for (auto const& [window, count] : service.windows) {
            sum.windows[window].good += count.good;
            sum.windows[window].total += count.total;
        }
    }
    this->respondingNodes.push_back(node);
}

void BurnReport::addMissingNode(std::string const& node, std::string const& reason)
{
    this->missingNodeReasons[node] = reason;
}

double BurnReport::burnRate(Service const& service, std::string const& window)
{
    auto const found = service.windows.find(window);
    if (found == service.windows.end() || !found->second.total || service.objective.ratio >= 1)
        return 0;
    auto const total = static_cast<double>(found->second.total);
    auto const bad = total - static_cast<double>(found->second.good);
    return bad / total / (1 - service.objective.ratio);
}

BurnReport::Level BurnReport::level(Service const& service)
{
    for (auto const& rule : alertRules) {
        if (burnRate(service, std::string(rule.longWindow)) > rule.factor
            && burnRate(service, std::string(rule.shortWindow)) > rule.factor)
            return rule.level;
    }
    return Level::Ok;
}

bool BurnReport::anyAlert() const
{
    auto const alerts = [](auto const& entry) { return level(entry.second) != Level::Ok; };
    return std::any_of(this->serviceTotals.begin(), this->serviceTotals.end(), alerts);
}

/// "2.50", or "-" for a window without requests.
static std::string formatRate(BurnReport::Service const& service, std::string_view window)
{
    auto const found = service.windows.find(std::string(window));
    if (found == service.windows.end() || !found->second.total)
        return "-";
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << BurnReport::burnRate(service, found->first);
    return text.str();
}

static std::string formatObjective(Objective const& objective)
{
    std::ostringstream text;
    text << objective.ratio * 100 << " % in " << objective.latency.value << " ms";
    return text.str();
}

std::string BurnReport::table() const
{
    size_t nameWidth = 7;
    for (auto const& [name, service] : this->serviceTotals)
        nameWidth = std::max(nameWidth, name.size());
    std::ostringstream text;
    auto const nameColumn = static_cast<int>(nameWidth + 2);
    text << std::left << std::setw(nameColumn) << "SERVICE" << std::setw(20) << "OBJECTIVE" << std::right;
    for (auto const window : windowNames)
        text << std::setw(9) << window;
    text << "  LEVEL\n";
    for (auto const& [name, service] : this->serviceTotals) {
        text << std::left << std::setw(nameColumn) << name << std::setw(20) << formatObjective(service.objective)
             << std::right;
        for (auto const window : windowNames)
            text << std::setw(9) << formatRate(service, window);
        text << "  " << toString(level(service)) << "\n";
    }
    for (auto const& [node, reason] : this->missingNodeReasons)
        text << "incomplete: node " << node << " is not counted: " << reason << "\n";
    return text.str();
}

Json::Value BurnReport::toJson() const
{
    Json::Value result { Json::objectValue };
    result["complete"] = this->missingNodeReasons.empty();
    result["nodes"] = Json::Value { Json::arrayValue };
    for (auto const& node : this->respondingNodes)
        result["nodes"].append(node);
    result["missingNodes"] = Json::Value { Json::objectValue };
    for (auto const& [node, reason] : this->missingNodeReasons)
        result["missingNodes"][node] = reason;
    auto& services = result["services"] = Json::Value { Json::objectValue };
    for (auto const& [name, service] : this->serviceTotals) {
        auto& entry = services[name];
        entry["objective"]["latencyMs"] = service.objective.latency.value;
        entry["objective"]["ratio"] = service.objective.ratio;
        entry["level"] = std::string(toString(level(service)));
        entry["windows"] = Json::Value { Json::objectValue };
        for (auto const& [window, count] : service.windows) {
            auto& values = entry["windows"][window];
            values["good"] = Json::UInt64(count.good);
            values["total"] = Json::UInt64(count.total);
            values["burnRate"] = burnRate(service, window);
        }
    }
    return result;
}

static std::string escapeHtml(std::string_view text)
{
    std::string result;
    for (char const character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

static constexpr std::string_view pageStart = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #bbb; padding: 0.3em 0.8em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.page { background: #f4b6b6; }
.ticket { background: #f7e3a1; }
.incomplete { color: #a00; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
)";

static constexpr std::string_view pageEnd = R"(<p>A burn rate of 1 uses up the error budget exactly at the end of its
period of 30 days. Page: above 14.4 over 1h and 5m, or above 6 over 6h and 1h. Ticket: above 1 over 3d and 6h. A dash
marks a window without requests.</p>
</body>
</html>
)";

std::string BurnReport::toHtml(std::string const& time) const
{
    std::ostringstream text;
    text << pageStart << "<p>" << escapeHtml(time) << ", " << this->respondingNodes.size() << " nodes counted</p>\n";
    for (auto const& [node, reason] : this->missingNodeReasons)
        text << "<p class=\"incomplete\">Incomplete: node " << escapeHtml(node)
             << " is not counted: " << escapeHtml(reason) << "</p>\n";
    text << "<table>\n<tr><th>Service</th><th>Objective</th>";
    for (auto const window : windowNames)
        text << "<th>" << window << "</th>";
    text << "<th>Level</th></tr>\n";
    for (auto const& [name, service] : this->serviceTotals) {
        auto const levelName = toString(level(service));
        text << "<tr class=\"" << levelName << "\"><td>" << escapeHtml(name) << "</td><td>"
             << formatObjective(service.objective) << "</td>";
        for (auto const window : windowNames)
            text << "<td>" << formatRate(service, window) << "</td>";
        text << "<td>" << levelName << "</td></tr>\n";
    }
    text << "</table>\n" << pageEnd;
    return text.str();
}

} // namespace Toucan
