#include "Node/CallerMessages.h"

#include "Base/Error.h"
#include "Base/Json.h"
#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>
#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <string_view>

namespace Toucan::CallerMessages {

constexpr std::string_view servicesPath = "/v1/services/";
/// Longest identifier in a header field, in bytes.
constexpr size_t maximumIdentifierLength = 128;
constexpr size_t maximumRecordBytes = 256;
/// One hour, because requests of low priority may be queued for long.
constexpr uint32_t maximumDeadlineMs = 3600000;
constexpr uint32_t maximumHits = 100000;
constexpr char const* retryAfterSeconds = "1";

namespace {

    struct ServicePath {
        std::string service;
        Idempotence idempotence { Idempotence::Idempotent };
    };

} // namespace

static RefusedRequest badRequest(char const* type, char const* title, std::string detail, std::string remedy)
{
    return { 400, { type, title, std::move(detail), std::move(remedy) } };
}

/// Value of a field that may be given once; empty when it is missing.
static std::optional<std::string> singleField(Poco::Net::HTTPRequest const& head, std::string const& name)
{
    auto const count = std::count_if(
        head.begin(), head.end(), [&name](auto const& field) { return Poco::icompare(field.first, name) == 0; });
    if (count > 1)
        throw badRequest("repeated-header", "Repeated header", "The header " + name + " is given more than once",
            "Send the header once");
    if (!count)
        return std::nullopt;
    return head.get(name);
}

static bool isVisibleText(std::string_view text)
{
    return !text.empty() && text.size() <= maximumIdentifierLength
        && std::all_of(text.begin(), text.end(), [](char character) { return character > 0x20 && character < 0x7f; });
}

static std::optional<std::string> identifierField(Poco::Net::HTTPRequest const& head, std::string const& name)
{
    auto value = singleField(head, name);
    if (value && !isVisibleText(*value))
        throw badRequest("invalid-header", "Invalid header", "The header " + name + " is not valid",
            "Send 1 to 128 visible ASCII characters without spaces");
    return value;
}

static ServicePath parseServicePath(std::string_view uri)
{
    auto const path = uri.substr(0, uri.find('?'));
    auto const notFound = RefusedRequest { 404,
        { "unknown-path", "Unknown path",
            "Nothing is served at " + std::string(path.substr(0, maximumIdentifierLength)),
            "Use /v1/services/SERVICE/query or /v1/services/SERVICE/command" } };
    if (!path.starts_with(servicesPath))
        throw notFound;
    auto const rest = path.substr(servicesPath.size());
    auto const slash = rest.find('/');
    if (slash == std::string_view::npos || slash == 0)
        throw notFound;
    auto const action = rest.substr(slash + 1);
    if (action == "query")
        return { std::string(rest.substr(0, slash)), Idempotence::Idempotent };
    if (action == "command")
        return { std::string(rest.substr(0, slash)), Idempotence::NonIdempotent };
    throw notFound;
}

static Milliseconds parseDeadline(Poco::Net::HTTPRequest const& head)
{
    auto const text = singleField(head, "Toucan-Deadline-Ms");
    if (!text)
        return {};
    uint32_t value = 0;
    auto const* const end = text->data() + text->size();
    auto const [parsed, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc() || parsed != end || value == 0 || value > maximumDeadlineMs)
        throw badRequest("invalid-deadline", "Invalid deadline",
            "Toucan-Deadline-Ms is not a whole number from 1 to " + std::to_string(maximumDeadlineMs),
            "Send the time that you can wait, in milliseconds");
    return { static_cast<double>(value) };
}

static Json::Value parseBody(std::string const& text)
{
    Json::Value body;
    try {
        body = parseJson(text);
    } catch (Error const& error) {
        throw badRequest("invalid-body", "Invalid body", error.detail(), error.remedy());
    }
    if (!body.isObject())
        throw badRequest("invalid-body", "Invalid body", "The body is not a JSON object", "Send one JSON object");
    return body;
}

static uint32_t parseLimit(Json::Value const& body)
{
    if (!body.isMember("limit"))
        return 0;
    auto const& limit = body["limit"];
    if (!limit.isUInt() || limit.asUInt() == 0 || limit.asUInt() > maximumHits)
        throw badRequest("invalid-limit", "Invalid limit",
            "The member limit is not a whole number from 1 to " + std::to_string(maximumHits),
            "Send the most hits that you want, or leave the member out");
    return limit.asUInt();
}

static std::string parseRecord(Json::Value const& body)
{
    auto const& record = body["record"];
    if (!record.isString() || record.asString().empty() || record.asString().size() > maximumRecordBytes)
        throw badRequest("invalid-record", "Invalid record",
            "The member record is missing or not a string of 1 to " + std::to_string(maximumRecordBytes) + " bytes",
            "Name the record that the command is about; it chooses the shard");
    return record.asString();
}

static void parseFields(HttpServerRequest const& request, CallerRequest& result)
{
    result.timeout = parseDeadline(request.head);
    result.priority = identifierField(request.head, "Toucan-Priority").value_or("");
    auto const body = parseBody(request.body);
    result.limit = parseLimit(body);
    result.body = std::make_shared<std::string const>(request.body);
    if (result.idempotence == Idempotence::Idempotent)
        return;
    result.requestKey = identifierField(request.head, "Toucan-Request-Key").value_or("");
    if (result.requestKey.empty())
        throw badRequest("missing-request-key", "Missing request key", "A command needs the header Toucan-Request-Key",
            "Make one UUIDv7 (RFC 9562) for each logical request and repeat it on retries");
    result.record = parseRecord(body);
}

CallerRequest parse(HttpServerRequest const& request, std::string const& fallbackRequestId, Milliseconds now)
{
    CallerRequest result;
    result.received = now;
    result.requestId = fallbackRequestId;
    try {
        result.requestId = identifierField(request.head, "Toucan-Request-Id").value_or(fallbackRequestId);
        auto path = parseServicePath(request.head.getURI());
        if (request.head.getMethod() != Poco::Net::HTTPRequest::HTTP_POST)
            throw RefusedRequest { 405,
                { "method-not-allowed", "Method not allowed", "Services accept POST only", "Send a POST request" } };
        result.service = std::move(path.service);
        result.idempotence = path.idempotence;
        parseFields(request, result);
    } catch (RefusedRequest& refused) {
        refused.requestId = result.requestId;
        throw;
    }
    return result;
}

static void setStatus(Poco::Net::HTTPResponse& head, int status, std::string const& title)
{
    auto const known = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
    auto const& reason = Poco::Net::HTTPResponse::getReasonForStatus(known);
    head.setStatusAndReason(known, reason.empty() || reason == "???" ? title : reason);
}

static Json::Value writeProblem(
    int status, Problem const& problem, Outcome outcome, std::string const& requestId, Poco::Net::HTTPResponse& head)
{
    setStatus(head, status, problem.title);
    head.setContentType("application/problem+json");
    if (status == 429 || status == 503)
        head.set("Retry-After", retryAfterSeconds);
    if (status == 405)
        head.set("Allow", "POST");
    Json::Value body;
    body["type"] = "/problems/" + problem.type;
    body["title"] = problem.title;
    body["status"] = status;
    body["detail"] = problem.detail;
    body["remedy"] = problem.remedy;
    body["outcome"] = std::string(toString(outcome));
    body["requestId"] = requestId;
    return body;
}

static Json::Value writeCoverage(Coverage const& coverage)
{
    Json::Value result;
    result["shards"] = coverage.shards;
    result["merged"] = coverage.merged;
    result["whole"] = coverage.isComplete();
    auto& missing = result["missing"] = Json::Value(Json::arrayValue);
    for (auto const shard : coverage.missing)
        missing.append(shard);
    return result;
}

/// Milliseconds, rounded to microseconds.
static double roundedTime(Milliseconds time) { return std::round(time.value * 1000) / 1000; }

std::string write(CallerAnswer const& answer, Poco::Net::HTTPResponse& head)
{
    Json::Value body;
    if (answer.status == 200) {
        head.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_OK);
        head.setContentType("application/json");
        body["requestId"] = answer.requestId;
        body["outcome"] = std::string(toString(answer.outcome));
        body["hits"] = answer.hits;
    } else {
        body = writeProblem(answer.status, answer.problem, answer.outcome, answer.requestId, head);
    }
    head.set("Toucan-Request-Id", answer.requestId);
    body["service"] = answer.service;
    body["snapshot"] = answer.snapshot;
    body["coverage"] = writeCoverage(answer.coverage);
    body["timing"]["totalMs"] = roundedTime(answer.totalTime);
    body["timing"]["queuedMs"] = roundedTime(answer.queueTime);
    return writeJson(body);
}

std::string write(RefusedRequest const& refused, Poco::Net::HTTPResponse& head)
{
    if (!refused.requestId.empty())
        head.set("Toucan-Request-Id", refused.requestId);
    return writeJson(writeProblem(refused.status, refused.problem, Outcome::NotRun, refused.requestId, head));
}

std::string write(HttpError const& error, Poco::Net::HTTPResponse& head)
{
    Problem const problem { "invalid-http", Poco::Net::HTTPResponse::getReasonForStatus(error.status), error.detail,
        error.remedy };
    return writeJson(writeProblem(static_cast<int>(error.status), problem, Outcome::NotRun, "", head));
}

} // namespace Toucan::CallerMessages
