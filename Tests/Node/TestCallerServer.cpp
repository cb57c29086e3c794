#include "../Net/NetTestSupport.h"
#include "Base/Json.h"
#include "Node/CallerServer.h"

#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

namespace {

struct RefusedExample {
    char const* what;
    std::string bytes;
    int status;
    char const* type;
};

std::string request(std::string const& path, std::string const& fields, std::string const& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: test\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

constexpr char const* key = "Toucan-Request-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\n";

} // namespace

// clang-format off
TEST_GROUP(CallerServer)
{
    EventLoop loop;
    std::vector<CallerRequest> requests;
    std::vector<RequestHandle> disconnected;
    bool full { false };
    std::unique_ptr<CallerServer> server;

    void setup() override
    {
        CallerServer::Hooks hooks;
        hooks.submit = [this](CallerRequest&& request) {
            if (!this->full)
                this->requests.push_back(std::move(request));
            return !this->full;
        };
        hooks.disconnected = [this](RequestHandle handle) { this->disconnected.push_back(handle); };
        this->server = std::make_unique<CallerServer>(this->loop, "127.0.0.1:0", "n1/7", hooks);
    }
    void teardown() override { this->server.reset(); }

    /// Sends the bytes on a new connection and returns the JSON body of the answer.
    Json::Value exchange(std::string const& bytes)
    {
        RawPeer peer(this->server->address());
        peer.send(bytes);
        Json::Value body;
        peer.receiveUntil(this->loop, 1000_ms, [&] {
            auto const end = peer.received.find("\r\n\r\n");
            if (end == std::string::npos || peer.received.size() == end + 4)
                return false;
            body = parseJson(peer.received.substr(end + 4));
            return true;
        });
        return body;
    }
    CallerRequest const& submitted(std::string const& bytes)
    {
        RawPeer peer(this->server->address());
        peer.send(bytes);
        auto const before = this->requests.size();
        runUntil(this->loop, 500_ms, [&] { return this->requests.size() > before; });
        CHECK(this->requests.size() > before);
        return this->requests.back();
    }
};
// clang-format on

// Guards against headers or body members that do not reach the engine.
TEST(CallerServer, ReadsAQuery)
{
    auto const& query = this->submitted(request("/v1/services/parent-app-1/query",
        "Toucan-Deadline-Ms: 59\r\nToucan-Priority: urgent\r\nToucan-Request-Id: r-1\r\n", R"({"q":"x","limit":5})"));
    STRCMP_EQUAL("parent-app-1", query.service.c_str());
    CHECK(query.idempotence == Idempotence::Idempotent);
    CHECK(query.timeout == 59_ms);
    STRCMP_EQUAL("urgent", query.priority.c_str());
    STRCMP_EQUAL("r-1", query.requestId.c_str());
    LONGS_EQUAL(5, query.limit);
    STRCMP_EQUAL(R"({"q":"x","limit":5})", query.body->c_str());
}

// Guards against defaults that override the rule of the service, and against generated request ids that repeat.
TEST(CallerServer, UsesDefaults)
{
    auto const first = this->submitted(request("/v1/services/a/query", "", "{}")).requestId;
    auto const& second = this->submitted(request("/v1/services/a/query", "", "{}"));
    CHECK(second.timeout == 0_ms);
    STRCMP_EQUAL("", second.priority.c_str());
    CHECK(second.requestId.starts_with("n1/7/"));
    CHECK(first != second.requestId);
}

// Guards against a command without its key or record.
TEST(CallerServer, ReadsACommand)
{
    auto const& command = this->submitted(request("/v1/services/a/command", key, R"({"record":"slip-7"})"));
    CHECK(command.idempotence == Idempotence::NonIdempotent);
    STRCMP_EQUAL("01890a5d-ac96-774b-bcce-b302099a8057", command.requestKey.c_str());
    STRCMP_EQUAL("slip-7", command.record.c_str());
}

// Guards against passing invalid requests to the engine, and against errors without outcome and remedy.
TEST(CallerServer, RefusesInvalidRequestsWithProblems)
{
    std::string const query = "/v1/services/a/query";
    std::string const command = "/v1/services/a/command";
    std::vector<RefusedExample> const table {
        { "unknown path", request("/v2/services/a/query", "", "{}"), 404, "/problems/unknown-path" },
        { "unknown action", request("/v1/services/a/delete", "", "{}"), 404, "/problems/unknown-path" },
        { "no service", request("/v1/services//query", "", "{}"), 404, "/problems/unknown-path" },
        { "path goes on", request("/v1/services/a/query/b", "", "{}"), 404, "/problems/unknown-path" },
        { "wrong method", "GET /v1/services/a/query HTTP/1.1\r\nHost: a\r\n\r\n", 405, "/problems/method-not-allowed" },
        { "deadline is text", request(query, "Toucan-Deadline-Ms: soon\r\n", "{}"), 400, "/problems/invalid-deadline" },
        { "deadline is 0", request(query, "Toucan-Deadline-Ms: 0\r\n", "{}"), 400, "/problems/invalid-deadline" },
        { "deadline negative", request(query, "Toucan-Deadline-Ms: -5\r\n", "{}"), 400, "/problems/invalid-deadline" },
        { "deadline too long", request(query, "Toucan-Deadline-Ms: 99999999\r\n", "{}"), 400,
            "/problems/invalid-deadline" },
        { "empty request id", request(query, "Toucan-Request-Id: \r\n", "{}"), 400, "/problems/invalid-header" },
        { "long request id", request(query, "Toucan-Request-Id: " + std::string(200, 'x') + "\r\n", "{}"), 400,
            "/problems/invalid-header" },
        { "two request ids", request(query, "Toucan-Request-Id: a\r\nToucan-Request-Id: b\r\n", "{}"), 400,
            "/problems/repeated-header" },
        { "no body", request(query, "", ""), 400, "/problems/invalid-body" },
        { "body is no JSON", request(query, "", "{\"a\":"), 400, "/problems/invalid-body" },
        { "body is an array", request(query, "", "[]"), 400, "/problems/invalid-body" },
        { "duplicate key", request(query, "", R"({"a":1,"a":2})"), 400, "/problems/invalid-body" },
        { "limit is text", request(query, "", R"({"limit":"5"})"), 400, "/problems/invalid-limit" },
        { "limit is 0", request(query, "", R"({"limit":0})"), 400, "/problems/invalid-limit" },
        { "limit negative", request(query, "", R"({"limit":-1})"), 400, "/problems/invalid-limit" },
        { "no key", request(command, "", R"({"record":"a"})"), 400, "/problems/missing-request-key" },
        { "two keys", request(command, std::string(key) + key, R"({"record":"a"})"), 400, "/problems/repeated-header" },
        { "no record", request(command, key, "{}"), 400, "/problems/invalid-record" },
        { "record is a number", request(command, key, R"({"record":7})"), 400, "/problems/invalid-record" },
        { "body too large", request(query, "", std::string(70000, ' ')), 413, "/problems/invalid-http" },
        { "header too large", request(query, "X: " + std::string(20000, 'x') + "\r\n", "{}"), 431,
            "/problems/invalid-http" },
        { "not HTTP", "hello\r\n\r\n", 400, "/problems/invalid-http" },
    };
    for (auto const& example : table) {
        auto const body = this->exchange(example.bytes);
        LONGS_EQUAL_TEXT(example.status, body["status"].asInt(), example.what);
        STRCMP_EQUAL_TEXT(example.type, body["type"].asCString(), example.what);
        STRCMP_EQUAL_TEXT("not-run", body["outcome"].asCString(), example.what);
        for (char const* member : { "title", "detail", "remedy" })
            CHECK_TEXT(!body[member].asString().empty(), example.what);
        CHECK_TEXT(body.isMember("requestId"), example.what);
    }
    LONGS_EQUAL(0, this->requests.size());
    LONGS_EQUAL(table.size(), this->server->refused());
}

// Guards against callers that wait for an engine that accepts no more requests.
TEST(CallerServer, RefusesWhenTheEngineIsFull)
{
    this->full = true;
    auto const start = Clock::now();
    auto const body = this->exchange(request("/v1/services/a/query", "Toucan-Request-Id: r-9\r\n", "{}"));
    CHECK(Clock::now() - start < 100_ms);
    LONGS_EQUAL(503, body["status"].asInt());
    STRCMP_EQUAL("not-run", body["outcome"].asCString());
    STRCMP_EQUAL("r-9", body["requestId"].asCString());
    LONGS_EQUAL(0, this->server->running());
}

// Guards against sending an answer to another caller, and against a wrong coverage.
TEST(CallerServer, GivesEachCallerItsOwnAnswer)
{
    RawPeer first(this->server->address());
    RawPeer second(this->server->address());
    first.send(request("/v1/services/a/query", "Toucan-Request-Id: first\r\n", "{}"));
    runUntil(this->loop, 500_ms, [this] { return this->requests.size() == 1; });
    second.send(request("/v1/services/a/query", "Toucan-Request-Id: second\r\n", "{}"));
    runUntil(this->loop, 500_ms, [this] { return this->requests.size() == 2; });
    for (size_t const index : { size_t { 1 }, size_t { 0 } }) {
        CallerAnswer answer;
        answer.handle = this->requests[index].handle;
        answer.requestId = this->requests[index].requestId;
        answer.service = "a";
        answer.outcome = Outcome::Ran;
        answer.snapshot = "s1";
        answer.coverage = { 3, 2, { 1 } };
        this->server->answer(answer);
    }
    first.receiveUntilText(this->loop, 500_ms, "\"first\"");
    second.receiveUntilText(this->loop, 500_ms, "\"second\"");
    CHECK(first.received.find("second") == std::string::npos);
    auto const body = parseJson(first.received.substr(first.received.find("\r\n\r\n") + 4));
    STRCMP_EQUAL("first", body["requestId"].asCString());
    STRCMP_EQUAL("s1", body["snapshot"].asCString());
    STRCMP_EQUAL("ran", body["outcome"].asCString());
    LONGS_EQUAL(3, body["coverage"]["shards"].asInt());
    LONGS_EQUAL(2, body["coverage"]["merged"].asInt());
    LONGS_EQUAL(1, body["coverage"]["missing"][0].asInt());
    CHECK_FALSE(body["coverage"]["whole"].asBool());
    CHECK(body["hits"].isArray());
    CHECK(body["timing"].isMember("totalMs"));
    CHECK(body["timing"].isMember("queuedMs"));
}

// Guards against an error answer with a wrong coverage or an unknown HTTP status.
TEST(CallerServer, WritesProblemsOfTheEngine)
{
    RawPeer peer(this->server->address());
    peer.send(request("/v1/services/a/query", "Toucan-Request-Id: r-1\r\n", "{}"));
    runUntil(this->loop, 500_ms, [this] { return this->requests.size() == 1; });
    CallerAnswer answer;
    answer.handle = this->requests.front().handle;
    answer.requestId = "r-1";
    answer.status = 504;
    answer.outcome = Outcome::Unknown;
    answer.coverage = { 3, 1, { 0, 2 } };
    answer.problem = { "deadline-exceeded", "Deadline exceeded", "2 of 3 parts are missing", "Allow more time" };
    this->server->answer(answer);
    peer.receiveUntilText(this->loop, 500_ms, "deadline-exceeded");
    CHECK(peer.received.starts_with("HTTP/1.1 504 "));
    CHECK(peer.received.find("application/problem+json") != std::string::npos);
    auto const body = parseJson(peer.received.substr(peer.received.find("\r\n\r\n") + 4));
    STRCMP_EQUAL("/problems/deadline-exceeded", body["type"].asCString());
    STRCMP_EQUAL("unknown", body["outcome"].asCString());
    STRCMP_EQUAL("Allow more time", body["remedy"].asCString());
    LONGS_EQUAL(1, body["coverage"]["merged"].asInt());
}

// Guards against continuing work, and leaking handles, for callers that have disconnected.
TEST(CallerServer, ReportsDisconnectedCallers)
{
    {
        RawPeer peer(this->server->address());
        peer.send(request("/v1/services/a/query", "", "{}"));
        runUntil(this->loop, 500_ms, [this] { return this->requests.size() == 1; });
        peer.socket.close();
    }
    auto const time = runUntil(this->loop, 500_ms, [this] { return !this->disconnected.empty(); });
    CHECK(time < 100_ms);
    CHECK(this->disconnected.front() == this->requests.front().handle);
    LONGS_EQUAL(0, this->server->running());
    CallerAnswer late;
    late.handle = this->disconnected.front();
    this->server->answer(late);
}
