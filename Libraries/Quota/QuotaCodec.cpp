#include "Quota/QuotaCodec.h"

#include "Base/Error.h"
#include "Base/Json.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

[[noreturn]] static void refuse(std::string const& what)
{
    throw Error(ErrorKind::InvalidInput, what, "Run the same version on all nodes");
}

static Json::Value const& member(Json::Value const& object, char const* name)
{
    if (!object.isObject() || !object.isMember(name))
        refuse(std::string("A quota message lacks \"") + name + "\"");
    return object[name];
}

static std::string readText(Json::Value const& object, char const* name)
{
    auto const& value = member(object, name);
    if (!value.isString())
        refuse(std::string("\"") + name + "\" is not a string");
    return value.asString();
}

/// A finite number of at least 0.
static double readNumber(Json::Value const& object, char const* name)
{
    auto const& value = member(object, name);
    if (!value.isNumeric() || !std::isfinite(value.asDouble()) || value.asDouble() < 0)
        refuse(std::string("\"") + name + "\" is not a number of at least 0");
    return value.asDouble();
}

static uint32_t readCount(Json::Value const& object, char const* name)
{
    auto const& value = member(object, name);
    if (!value.isUInt())
        refuse(std::string("\"") + name + "\" is not a count");
    return value.asUInt();
}

static uint64_t readVersion(Json::Value const& object)
{
    auto const& value = member(object, "configuration");
    if (!value.isUInt64())
        refuse("\"configuration\" is not a version");
    return value.asUInt64();
}

static Json::Value const& readList(Json::Value const& object, char const* name)
{
    auto const& value = member(object, name);
    if (!value.isArray())
        refuse(std::string("\"") + name + "\" is not a list");
    return value;
}

std::string writeQuotaRequest(QuotaRequest const& request)
{
    Json::Value body(Json::objectValue);
    body["configuration"] = Json::UInt64 { request.configuration };
    body["node"] = request.node;
    body["relay"] = request.fromRelay;
    body["asks"] = Json::Value(Json::arrayValue);
    for (auto const& ask : request.asks) {
        Json::Value entry(Json::objectValue);
        entry["limit"] = ask.limit;
        entry["waiting"] = ask.waiting;
        entry["ahead"] = ask.ahead;
        entry["demand"] = ask.demand;
        body["asks"].append(std::move(entry));
    }
    return writeJson(body);
}

QuotaRequest readQuotaRequest(std::string_view text)
{
    auto const body = parseJson(text);
    QuotaRequest request;
    request.configuration = readVersion(body);
    request.node = readText(body, "node");
    auto const& relay = member(body, "relay");
    if (!relay.isBool())
        refuse("\"relay\" is not true or false");
    request.fromRelay = relay.asBool();
    auto const& asks = readList(body, "asks");
    if (asks.size() > maximumQuotaAsks)
        throw Error(ErrorKind::LimitExceeded, "A quota message has too many asks", "Send at most 1,000 at once");
    for (auto const& entry : asks)
        request.asks.push_back({ readText(entry, "limit"), readCount(entry, "waiting"), readCount(entry, "ahead"),
            readNumber(entry, "demand") });
    return request;
}

std::string writeQuotaAnswer(QuotaAnswer const& answer)
{
    Json::Value body(Json::objectValue);
    body["configuration"] = Json::UInt64 { answer.configuration };
    body["grants"] = Json::Value(Json::arrayValue);
    for (auto const& grant : answer.grants) {
        Json::Value entry(Json::objectValue);
        entry["limit"] = grant.limit;
        entry["tokens"] = grant.tokens;
        entry["lifeMs"] = std::max(grant.life.value, 0.0);
        entry["demand"] = grant.demand;
        entry["rate"] = grant.rate;
        entry["retryAfterMs"] = std::max(grant.retryAfter.value, 0.0);
        body["grants"].append(std::move(entry));
    }
    return writeJson(body);
}

QuotaAnswer readQuotaAnswer(std::string_view text)
{
    auto const body = parseJson(text);
    QuotaAnswer answer;
    answer.configuration = readVersion(body);
    for (auto const& entry : readList(body, "grants"))
        answer.grants.push_back({ readText(entry, "limit"), readCount(entry, "tokens"), { readNumber(entry, "lifeMs") },
            readNumber(entry, "demand"), readNumber(entry, "rate"), { readNumber(entry, "retryAfterMs") } });
    return answer;
}

} // namespace Toucan
