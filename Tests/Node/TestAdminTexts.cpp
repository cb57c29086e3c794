#include "Base/Json.h"
#include "Node/JsonRpcServer.h"
#include "Node/MetricsText.h"

#include <stdexcept>
#include <string>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

// clang-format off
TEST_GROUP(JsonRpcServer)
{
    JsonRpcServer server { { [] { return parseJson(R"({"name":"n1"})"); },
        []() -> Json::Value { throw std::runtime_error("no answer"); },
        [] { return parseJson(R"({"version":7})"); } } };
};
// clang-format on

// Guards against answers that a JSON-RPC client cannot match to its call.
TEST(JsonRpcServer, AnswersItsMethods)
{
    auto const view = parseJson(this->server.handle(R"({"jsonrpc":"2.0","id":1,"method":"view"})"));
    LONGS_EQUAL(1, view["id"].asInt());
    STRCMP_EQUAL("n1", view["result"]["name"].asCString());
    auto const version
        = parseJson(this->server.handle(R"({"jsonrpc":"2.0","id":"x","method":"configurationVersion","params":{}})"));
    LONGS_EQUAL(7, version["result"]["version"].asInt());
    STRCMP_EQUAL("x", version["id"].asCString());
}

// Guards against an exception that ends the admin thread, and against invalid calls without an error object.
TEST(JsonRpcServer, AnswersErrors)
{
    auto const failed = parseJson(this->server.handle(R"({"jsonrpc":"2.0","id":1,"method":"burn"})"));
    CHECK(failed["error"]["message"].asString().find("no answer") != std::string::npos);
    auto const unknown = parseJson(this->server.handle(R"({"jsonrpc":"2.0","id":2,"method":"erase"})"));
    LONGS_EQUAL(-32601, unknown["error"]["code"].asInt());
    auto const invalid = parseJson(this->server.handle("not json"));
    LONGS_EQUAL(-32700, invalid["error"]["code"].asInt());
    auto const deep = parseJson(this->server.handle(std::string(20000, '[')));
    LONGS_EQUAL(-32700, deep["error"]["code"].asInt());
}

TEST_GROUP(MetricsText) {};

// Guards against text that Prometheus refuses: names with capitals, unescaped labels, samples of one name apart.
TEST(MetricsText, FlattensTheView)
{
    auto const view = parseJson(R"({"ready":true,"name":"n1","coordinator":{"lateParts":3,
        "targets":{"a\"1":{"inFlight":2},"b":{"inFlight":0.5}}}})");
    auto const text = writeMetrics({ { "toucan_frames_sent_total", 12 } }, view);
    STRCMP_EQUAL("# TYPE toucan_coordinator_late_parts gauge\n"
                 "toucan_coordinator_late_parts 3\n"
                 "# TYPE toucan_coordinator_target_in_flight gauge\n"
                 "toucan_coordinator_target_in_flight{target=\"a\\\"1\"} 2\n"
                 "toucan_coordinator_target_in_flight{target=\"b\"} 0.5\n"
                 "# TYPE toucan_frames_sent_total counter\n"
                 "toucan_frames_sent_total 12\n"
                 "# TYPE toucan_ready gauge\n"
                 "toucan_ready 1\n",
        text.c_str());
}
