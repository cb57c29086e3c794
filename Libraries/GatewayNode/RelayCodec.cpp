#include "GatewayNode/RelayCodec.h"

#include "Base/Error.h"
#include "Base/Json.h"

#include <algorithm>

namespace Toucan {

/// Slowdowns are written as whole percents.
constexpr double percent = 100;

static Json::UInt64 wholeMilliseconds(Milliseconds duration)
{
    return static_cast<Json::UInt64>(std::max(duration.value, 0.0));
}

static Json::Value writeList(std::span<TargetObservation const> observations)
{
    Json::Value list(Json::arrayValue);
    for (auto const& observation : observations) {
        Json::Value entry(Json::arrayValue);
        entry.append(observation.target);
        entry.append(Json::UInt64 { static_cast<uint64_t>(observation.slowdown * percent) });
        entry.append(wholeMilliseconds(observation.age));
        list.append(std::move(entry));
    }
    return list;
}

static std::vector<TargetObservation> readList(Json::Value const& list)
{
    std::vector<TargetObservation> observations;
    for (auto const& entry : list) {
        bool const valid
            = entry.isArray() && entry.size() == 3 && entry[0].isString() && entry[1].isUInt() && entry[2].isUInt();
        if (!valid)
            throw Error(ErrorKind::InvalidInput, "An observation is not [target, slowdown, age]",
                "Run the same version on all nodes");
        observations.push_back(
            { entry[0].asString(), std::max(entry[1].asUInt(), 1U) / percent, Milliseconds { entry[2].asDouble() } });
    }
    return observations;
}

std::string writeObservations(std::span<TargetObservation const> observations)
{
    Json::Value body(Json::objectValue);
    body["observations"] = writeList(observations);
    return writeJson(body);
}

std::vector<TargetObservation> readObservations(std::string_view body)
{
    auto const document = parseJson(body);
    if (!document.isObject() || !document["observations"].isArray())
        throw Error(ErrorKind::InvalidInput, "The body has no observations", "Run the same version on all nodes");
    return readList(document["observations"]);
}

std::string writeRelayedNews(RelayedNews const& news)
{
    Json::Value body(Json::objectValue);
    body["revision"] = Json::UInt64 { news.revision };
    body["ageMs"] = wholeMilliseconds(news.age);
    if (news.outageEnded)
        body["outageEndedMs"] = wholeMilliseconds(*news.outageEnded);
    body["failureDomain"] = news.failureDomain;
    body["followers"] = news.followers;
    for (auto const& event : news.events)
        body["entries"].append(event.source);
    if (!news.observations.empty())
        body["observations"] = writeList(news.observations);
    body["lastObservation"] = Json::UInt64 { news.lastObservation };
    return writeJson(body);
}

RelayedNews readRelayedNews(std::string_view body, RegistryDecoder const& decode)
{
    auto const document = parseJson(body);
    if (!document.isObject() || !document["revision"].isUInt64() || !document["ageMs"].isUInt64()
        || !document["failureDomain"].isString())
        throw Error(ErrorKind::InvalidInput, "A relay's answer lacks revision, ageMs or failureDomain",
            "Run the same version on all nodes");
    RelayedNews news;
    news.status = RegistryStatus::Ok;
    news.revision = document["revision"].asUInt64();
    news.age = { document["ageMs"].asDouble() };
    if (document["outageEndedMs"].isUInt64())
        news.outageEnded = Milliseconds { document["outageEndedMs"].asDouble() };
    news.failureDomain = document["failureDomain"].asString();
    if (document["followers"].isUInt())
        news.followers = document["followers"].asUInt();
    if (document["lastObservation"].isUInt64())
        news.lastObservation = document["lastObservation"].asUInt64();
    news.observations = readList(document["observations"]);
    for (auto const& entry : document["entries"]) {
        if (!entry.isString())
            throw Error(ErrorKind::InvalidInput, "A relay's entry is not a text", "Run the same version on all nodes");
        if (auto event = decode(entry.asString()))
            news.events.push_back(std::move(*event));
    }
    return news;
}

} // namespace Toucan
