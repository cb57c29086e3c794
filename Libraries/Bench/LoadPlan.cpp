#include "Bench/LoadPlan.h"

#include "Base/Error.h"
#include "Base/Hash.h"
#include "Base/Json.h"

#include <algorithm>
#include <fstream>
#include <random>

namespace Toucan::Bench {

static constexpr size_t maximumArrivals = 5000000;
static constexpr Milliseconds maximumDuration = 3600000_ms;
static constexpr double millisecondsPerSecond = 1000;

static LoadKind parseKind(std::string const& text)
{
    if (text != "query" && text != "command")
        throw Error(ErrorKind::InvalidSettings, "Unknown kind " + text, "Give query or command");
    return text == "command" ? LoadKind::Command : LoadKind::Query;
}

static LoadStream parseStream(Json::Value const& entry)
{
    LoadStream stream;
    stream.service = entry["service"].asString();
    stream.kind = parseKind(entry.get("kind", "query").asString());
    stream.rate = entry["rate"].asDouble();
    stream.priority = entry["priority"].asString();
    stream.deadline = { entry["deadlineMs"].asDouble() };
    stream.duplicates = entry["duplicates"].asDouble();
    return stream;
}

LoadSettings LoadSettings::parse(Json::Value const& settings)
{
    LoadSettings result;
    try {
        result.seed = settings.get("seed", 1).asUInt64();
        result.duration = { settings.get("durationMs", result.duration.value).asDouble() };
        result.warmup = { settings.get("warmupMs", 0).asDouble() };
        result.timeout = { settings.get("timeoutMs", result.timeout.value).asDouble() };
        result.connections = settings.get("connections", result.connections).asUInt();
        result.objective = { settings.get("objectiveMs", result.objective.value).asDouble() };
        result.history = settings["history"].asString();
        for (auto const& node : settings["nodes"])
            result.nodes.push_back({ node["name"].asString(), node["address"].asString(), node["admin"].asString() });
        for (auto const& entry : settings["mix"])
            result.mix.push_back(parseStream(entry));
        for (auto const& step : settings["steps"])
            result.steps.push_back({ { step["atMs"].asDouble() }, step["factor"].asDouble() });
    } catch (Json::Exception const& exception) {
        throw Error(ErrorKind::InvalidSettings, std::string("Bad load settings: ") + exception.what(),
            "Correct the settings file");
    }
    if (result.nodes.empty() || !result.connections || result.history.empty())
        throw Error(ErrorKind::InvalidSettings, "The settings lack \"nodes\", \"connections\" or \"history\"",
            "Give all three");
    if (result.duration > maximumDuration)
        throw Error(ErrorKind::InvalidSettings, "The run is longer than an hour", "Give a shorter durationMs");
    return result;
}

static double rateFactorAt(std::vector<RateStep> const& steps, Milliseconds at)
{
    double factor = 1;
    for (auto const& step : steps) {
        if (step.at <= at)
            factor = step.factor;
    }
    return factor;
}

/// End of the interval of constant rate that contains `at`.
static Milliseconds constantRateEnd(LoadSettings const& settings, Milliseconds at)
{
    auto end = settings.duration;
    for (auto const& step : settings.steps) {
        if (step.at > at)
            end = std::min(end, step.at);
    }
    return end;
}

static Error tooManyArrivals()
{
    return { ErrorKind::LimitExceeded, "The load has more than 5,000,000 arrivals", "Lower the rate or the duration" };
}

static void planStream(LoadSettings const& settings, size_t index, std::vector<Arrival>& arrivals)
{
    auto const& stream = settings.mix[index];
    std::mt19937_64 random(hash64(stream.service + "/" + std::to_string(index), settings.seed));
    std::exponential_distribution<double> interval(1);
    std::bernoulli_distribution duplicated(stream.kind == LoadKind::Command ? stream.duplicates : 0);
    Milliseconds at;
    while (at < settings.duration) {
        auto const end = constantRateEnd(settings, at);
        auto const rate = stream.rate * rateFactorAt(settings.steps, at) / millisecondsPerSecond;
        auto const next = rate > 0 ? at + Milliseconds { interval(random) / rate } : end;
        // The exponential distribution is memoryless, so the draw can start again where the rate changes.
        if (next >= end) {
            at = end;
            continue;
        }
        at = next;
        arrivals.push_back({ at, stream.service, stream.kind, stream.priority, stream.deadline, duplicated(random) });
        if (arrivals.size() > maximumArrivals)
            throw tooManyArrivals();
    }
}

/// Expected number of arrivals of all streams.
static double expectedArrivals(LoadSettings const& settings)
{
    double rate = 0;
    for (auto const& stream : settings.mix)
        rate += stream.rate / millisecondsPerSecond;
    double result = 0;
    for (Milliseconds at; at < settings.duration;) {
        auto const end = constantRateEnd(settings, at);
        result += rate * rateFactorAt(settings.steps, at) * (end - at).value;
        at = end;
    }
    return result;
}

std::vector<Arrival> planArrivals(LoadSettings const& settings)
{
    if (expectedArrivals(settings) > static_cast<double>(maximumArrivals))
        throw tooManyArrivals();
    std::vector<Arrival> arrivals;
    for (size_t index = 0; index < settings.mix.size(); ++index)
        planStream(settings, index, arrivals);
    std::stable_sort(
        arrivals.begin(), arrivals.end(), [](auto const& left, auto const& right) { return left.at < right.at; });
    return arrivals;
}

void recordTrace(std::string const& path, std::vector<Arrival> const& arrivals)
{
    std::ofstream file(path, std::ios::trunc);
    for (auto const& arrival : arrivals) {
        Json::Value line;
        line["atMs"] = arrival.at.value;
        line["service"] = arrival.service;
        line["kind"] = arrival.kind == LoadKind::Command ? "command" : "query";
        line["priority"] = arrival.priority;
        line["deadlineMs"] = arrival.deadline.value;
        line["duplicated"] = arrival.duplicated;
        file << writeJson(line) << '\n';
    }
    file.flush();
    if (!file)
        throw Error(ErrorKind::InvalidSettings, "The trace " + path + " cannot be written", "Name a writable file");
}

std::vector<Arrival> replayTrace(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        throw Error(ErrorKind::InvalidSettings, "The trace " + path + " cannot be read", "Name a readable file");
    std::vector<Arrival> arrivals;
    std::string text;
    while (std::getline(file, text)) {
        auto const line = parseJson(text);
        arrivals.push_back(
            { { line["atMs"].asDouble() }, line["service"].asString(), parseKind(line["kind"].asString()),
                line["priority"].asString(), { line["deadlineMs"].asDouble() }, line["duplicated"].asBool() });
    }
    return arrivals;
}

} // namespace Toucan::Bench
