#include "GatewayNode/RelayCodec.h"

#include "Base/Error.h"
#include "Base/Json.h"

namespace Toucan {

static Json::UInt64 wholeMilliseconds(Milliseconds duration)
{
    return static_cast<Json::UInt64>(std::max(duration.value, 0.0));
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
    for (auto const& entry : document["entries"]) {
        if (!entry.isString())
            throw Error(ErrorKind::InvalidInput, "A relay's entry is not a text", "Run the same version on all nodes");
        if (auto event = decode(entry.asString()))
            news.events.push_back(std::move(*event));
    }
    return news;
}

} // namespace Toucan
