#include "Bench/LoadReport.h"

#include <iomanip>
#include <sstream>

namespace Toucan::Bench {

static constexpr int statusOk = 200;
static constexpr double millisecondsPerSecond = 1000;
static constexpr char const* totalName = "total";

void LoadReport::add(LoadSample const& sample)
{
    for (auto const& name : { sample.service, std::string(totalName) }) {
        auto& row = this->rows[name];
        ++row.sent;
        ++row.statuses[sample.status];
        ++row.outcomes[sample.outcome];
        row.coverage += sample.coverage;
        row.refused += sample.outcome == "not-run" ? 1 : 0;
        if (sample.status != statusOk)
            continue;
        row.answerLatencies.add(sample.latency);
        auto const complete = sample.coverage >= 1;
        row.complete += complete ? 1 : 0;
        row.good += complete && sample.latency <= this->objective ? 1 : 0;
    }
}

Json::Value LoadReport::describe(Row const& row) const
{
    auto const seconds = this->measured.value / millisecondsPerSecond;
    Json::Value result;
    result["sent"] = static_cast<Json::UInt64>(row.sent);
    result["answered"] = static_cast<Json::UInt64>(row.answerLatencies.count());
    result["whole"] = static_cast<Json::UInt64>(row.complete);
    result["refused"] = static_cast<Json::UInt64>(row.refused);
    result["goodputPerSecond"] = static_cast<double>(row.good) / seconds;
    result["goodShare"] = static_cast<double>(row.good) / static_cast<double>(row.sent);
    result["coverage"] = row.coverage / static_cast<double>(row.sent);
    result["p50Ms"] = row.answerLatencies.quantile(0.5).value;
    result["p99Ms"] = row.answerLatencies.quantile(0.99).value;
    result["p999Ms"] = row.answerLatencies.quantile(0.999).value;
    for (auto const& [status, count] : row.statuses)
        result["statuses"][std::to_string(status)] = static_cast<Json::UInt64>(count);
    for (auto const& [outcome, count] : row.outcomes)
        result["outcomes"][outcome] = static_cast<Json::UInt64>(count);
    return result;
}

Json::Value LoadReport::json() const
{
    Json::Value result(Json::objectValue);
    for (auto const& [name, row] : this->rows)
        result[name] = this->describe(row);
    return result;
}

std::string LoadReport::table() const
{
    constexpr int nameWidth = 24;
    constexpr int width = 10;
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << std::left << std::setw(nameWidth) << "service" << std::right;
    for (auto const* name : { "sent", "answered", "refused", "p50 ms", "p99 ms", "p99.9 ms", "coverage", "good/s" })
        text << std::setw(width) << name;
    text << "  statuses\n";
    for (auto const& [name, row] : this->rows) {
        auto const values = this->describe(row);
        text << std::left << std::setw(nameWidth) << name << std::right;
        for (auto const* column : { "sent", "answered", "refused" })
            text << std::setw(width) << values[column].asUInt64();
        for (auto const* column : { "p50Ms", "p99Ms", "p999Ms" })
            text << std::setw(width) << values[column].asDouble();
        text << std::setprecision(4) << std::setw(width) << values["coverage"].asDouble() << std::setprecision(2)
             << std::setw(width) << values["goodputPerSecond"].asDouble() << ' ';
        for (auto const& [status, count] : row.statuses)
            text << ' ' << status << ':' << count;
        text << '\n';
    }
    return text.str();
}

} // namespace Toucan::Bench
