#include "Operator/LossReport.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <tuple>
#include <utility>

namespace Toucan {

/// Requests of one generation, which bounds the memory for large logs.
constexpr size_t maximumRequests = 100000;

std::string_view toString(LossReport::Loss loss)
{
    switch (loss) {
    case LossReport::Loss::Late:
        return "late";
    case LossReport::Loss::Partial:
        return "partial";
    case LossReport::Loss::Refused:
        return "refused";
    case LossReport::Loss::Failed:
        break;
    }
    return "failed";
}

std::string_view toString(LossReport::Cause cause)
{
    switch (cause) {
    case LossReport::Cause::ConfigurationUnknown:
        return "configuration unknown";
    case LossReport::Cause::NodeLimit:
        return "limit of the node";
    case LossReport::Cause::WorkspaceLimit:
        return "limit of a workspace";
    case LossReport::Cause::NodeStop:
        return "node stops";
    case LossReport::Cause::NoRoute:
        return "no route";
    case LossReport::Cause::NoUsableTarget:
        return "no usable target";
    case LossReport::Cause::ShardOverloaded:
        return "shard overloaded";
    case LossReport::Cause::ExtraAttemptDenied:
        return "extra attempt denied";
    case LossReport::Cause::Rejected:
        return "rejected by targets";
    case LossReport::Cause::NotConnected:
        return "no connection";
    case LossReport::Cause::TargetFailed:
        return "target failed";
    case LossReport::Cause::NoOtherTarget:
        return "no other target";
    case LossReport::Cause::SlowTarget:
        break;
    }
    return "slow target";
}

LossReport::LossReport(Milliseconds slice)
    : slice(slice)
{
}

void LossReport::add(std::string_view text, std::string_view place)
{
    LogLineFault fault {};
    auto const line = parseLogLine(text, fault);
    if (!line) {
        auto& entry = this->unread[fault];
        if (++entry.count == 1)
            entry.first = place;
        return;
    }
    ++this->lineCount;
    this->dropped += static_cast<uint64_t>(std::max(line->number("dropped_lines"), 0.0));
    if (line->event == "no-target")
        this->noteCause(*line, line->number("usable") > 0 ? Cause::NoOtherTarget : Cause::NoUsableTarget);
    else if (line->event == "part-omitted")
        this->noteCause(*line, Cause::ShardOverloaded);
    else if (line->event == "extra-attempt-denied")
        this->noteCause(*line, Cause::ExtraAttemptDenied);
    else if (line->event == "attempt-ended")
        this->noteAttempt(*line);
    else if (line->event == "hedge")
        this->requestOf(*line).target = line->field("slow");
    else if (line->event == "refused")
        this->countRefusal(*line);
    else if (line->event == "answered")
        this->countAnswer(*line);
}

LossReport::Request& LossReport::requestOf(LogLine const& line)
{
    std::string const id(line.field("request"));
    if (auto const found = this->older.find(id); found != this->older.end()) {
        this->recent[id] = std::move(found->second);
        this->older.erase(found);
    }
    if (this->recent.size() >= maximumRequests)
        this->older = std::exchange(this->recent, {});
    return this->recent[id];
}

LossReport::Request LossReport::takeRequest(std::string const& id)
{
    for (auto* const requests : { &this->recent, &this->older }) {
        if (auto const node = requests->extract(id))
            return std::move(node.mapped());
    }
    return {};
}

void LossReport::noteCause(LogLine const& line, Cause cause)
{
    auto& causes = this->requestOf(line).causes;
    auto const [entry, added] = causes.try_emplace(std::string(line.field("service")), cause);
    if (!added)
        entry->second = std::min(entry->second, cause);
}

void LossReport::noteAttempt(LogLine const& line)
{
    auto const outcome = line.field("outcome");
    auto cause = Cause::TargetFailed;
    if (outcome == "not-run")
        cause = Cause::Rejected;
    else if (outcome == "not-sent")
        cause = Cause::NotConnected;
    this->noteCause(line, cause);
    this->requestOf(line).target = line.field("target");
}

LossReport::Tally& LossReport::tallyOf(LogLine const& line, Loss loss, Cause cause)
{
    auto const number = static_cast<int64_t>(std::floor(line.time.value / this->slice.value));
    auto& tally = this->slices[number][{ loss, cause }];
    ++tally.requests;
    return tally;
}

void LossReport::countRefusal(LogLine const& line)
{
    auto cause = Cause::NodeLimit;
    if (line.field("status") == "404")
        cause = Cause::NoRoute;
    else if (!line.field("workspace").empty())
        cause = Cause::WorkspaceLimit;
    else if (line.field("why").find("configuration") != std::string_view::npos)
        cause = Cause::ConfigurationUnknown;
    this->tallyOf(line, Loss::Refused, cause);
}

void LossReport::countAnswer(LogLine const& line)
{
    auto const request = this->takeRequest(std::string(line.field("request")));
    Poco::StringTokenizer const missing(
        std::string(line.field("missing")), ",", Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    auto cause = Cause::SlowTarget;
    for (auto const& [service, found] : request.causes) {
        if (missing.count() == 0 || missing.has(service))
            cause = std::min(cause, found);
    }
    if (line.field("result").substr(0, 14) == "the node stops")
        cause = Cause::NodeStop;
    auto const status = line.number("status");
    auto loss = Loss::Failed;
    if (line.field("late") == "yes" && status < 300)
        loss = Loss::Late;
    else if (status < 300)
        loss = Loss::Partial;
    else if (status == 503)
        loss = Loss::Refused;
    auto& tally = this->tallyOf(line, loss, cause);
    for (auto const& service : missing)
        ++tally.services[service];
    if (!request.target.empty())
        ++tally.targets[request.target];
}

static std::pair<std::string, uint64_t> mostFrequent(std::map<std::string, uint64_t> const& counts)
{
    auto const found = std::max_element(
        counts.begin(), counts.end(), [](auto const& left, auto const& right) { return left.second < right.second; });
    if (found == counts.end())
        return {};
    return { found->first, found->second };
}

std::vector<LossReport::Row> LossReport::rows() const
{
    std::vector<Row> rows;
    for (auto const& [number, tallies] : this->slices) {
        auto const first = rows.size();
        for (auto const& [key, tally] : tallies) {
            Row row;
            row.from = this->slice * static_cast<double>(number);
            row.loss = key.first;
            row.cause = key.second;
            row.requests = tally.requests;
            std::tie(row.service, row.serviceRequests) = mostFrequent(tally.services);
            std::tie(row.target, row.targetRequests) = mostFrequent(tally.targets);
            rows.push_back(std::move(row));
        }
        std::stable_sort(rows.begin() + static_cast<std::ptrdiff_t>(first), rows.end(),
            [](Row const& left, Row const& right) { return left.requests > right.requests; });
    }
    return rows;
}

static std::string formatTime(Milliseconds time)
{
    Poco::Timestamp const timestamp(static_cast<Poco::Timestamp::TimeVal>(time.value * 1000));
    return Poco::DateTimeFormatter::format(timestamp, "%Y-%m-%d %H:%M:%S.%i");
}

static std::string withCount(std::string const& name, uint64_t count)
{
    return name.empty() ? "-" : name + " (" + std::to_string(count) + ")";
}

std::string LossReport::table() const
{
    std::ostringstream text;
    text << std::left << std::setw(25) << "from" << std::setw(9) << "loss" << std::setw(23) << "cause" << std::right
         << std::setw(8) << "requests"
         << "  " << std::left << std::setw(28) << "most lacked"
         << "target\n";
    for (auto const& row : this->rows())
        text << std::left << std::setw(25) << formatTime(row.from) << std::setw(9) << toString(row.loss)
             << std::setw(23) << toString(row.cause) << std::right << std::setw(8) << row.requests << "  " << std::left
             << std::setw(28) << withCount(row.service, row.serviceRequests)
             << withCount(row.target, row.targetRequests) << "\n";
    text << this->lineCount << " lines read, " << this->dropped << " more were dropped by the nodes\n";
    for (auto const& [fault, entry] : this->unread)
        text << entry.count << " lines not read: " << toString(fault) << ", first at " << entry.first << "\n";
    return text.str();
}

Json::Value LossReport::toJson() const
{
    Json::Value result;
    result["lines"] = static_cast<Json::UInt64>(this->lineCount);
    result["droppedLines"] = static_cast<Json::UInt64>(this->dropped);
    result["unread"] = Json::Value(Json::objectValue);
    for (auto const& [fault, entry] : this->unread) {
        auto& unreadEntry = result["unread"][std::string(toString(fault))];
        unreadEntry["lines"] = static_cast<Json::UInt64>(entry.count);
        unreadEntry["first"] = entry.first;
    }
    result["losses"] = Json::Value(Json::arrayValue);
    for (auto const& row : this->rows()) {
        Json::Value entry;
        entry["fromMs"] = row.from.value;
        entry["loss"] = std::string(toString(row.loss));
        entry["cause"] = std::string(toString(row.cause));
        entry["requests"] = static_cast<Json::UInt64>(row.requests);
        entry["service"] = row.service;
        entry["serviceRequests"] = static_cast<Json::UInt64>(row.serviceRequests);
        entry["target"] = row.target;
        entry["targetRequests"] = static_cast<Json::UInt64>(row.targetRequests);
        result["losses"].append(entry);
    }
    return result;
}

} // namespace Toucan
