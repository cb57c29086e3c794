#include "Base/Json.h"
#include "Engine/RequestMetrics.h"
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

// Guards against text that Prometheus rejects: names with capital letters, unescaped labels, samples of one metric that
// are not contiguous.
TEST(MetricsText, FlattensTheView)
{
    auto const view = parseJson(R"({"ready":true,"name":"n1","coordinator":{"lateParts":3,
        "targets":{"a\"1":{"inFlight":2},"b":{"inFlight":0.5}}}})");
    auto const text = writeMetrics({ { "toucan_frames_sent_total", 12 } }, view);
    STRCMP_EQUAL("# HELP toucan_coordinator_late_parts Value of the node's view, named after its path.\n"
                 "# TYPE toucan_coordinator_late_parts gauge\n"
                 "toucan_coordinator_late_parts 3\n"
                 "# HELP toucan_coordinator_target_in_flight Value of the node's view, named after its path.\n"
                 "# TYPE toucan_coordinator_target_in_flight gauge\n"
                 "toucan_coordinator_target_in_flight{target=\"a\\\"1\"} 2\n"
                 "toucan_coordinator_target_in_flight{target=\"b\"} 0.5\n"
                 "# HELP toucan_frames_sent_total Value of the node's view, named after its path.\n"
                 "# TYPE toucan_frames_sent_total counter\n"
                 "toucan_frames_sent_total 12\n"
                 "# HELP toucan_ready 1 when the node is ready for callers.\n"
                 "# TYPE toucan_ready gauge\n"
                 "toucan_ready 1\n",
        text.c_str());
}

// Guards against counters that are exported as gauges, and against two types for one metric.
TEST(MetricsText, CountersEndInTotal)
{
    auto const view = parseJson(R"({"carrier":{"counters":{"sent":4},"targets":{"a":{"queued":2}}},
        "frames":{"lateResults":1}})");
    auto const text = writeMetrics({}, view);
    CHECK(text.find("# TYPE toucan_carrier_sent_total counter\ntoucan_carrier_sent_total 4\n") != std::string::npos);
    CHECK(text.find("toucan_carrier_target_queued{target=\"a\"} 2\n") != std::string::npos);
    CHECK(text.find("toucan_frames_late_results_total 1\n") != std::string::npos);
}

// Guards against histograms whose buckets are not cumulative or lack +Inf, which scrapers reject.
TEST(MetricsText, RequestsHaveOutcomesAndCumulativeBuckets)
{
    RequestMetrics requests;
    requests.record("app", 200, Outcome::Ran, 59_ms);
    requests.record("app", 200, Outcome::Ran, 3_ms);
    requests.record("app", 503, Outcome::NotRun, 60'000_ms);
    Json::Value view;
    view["requests"] = requests.describe();
    view["members"]["n1"]["state"] = "alive";
    view["members"]["n2"]["state"] = "alive";
    view["members"]["n3"]["state"] = "dead";
    auto const text = writeMetrics({}, view);
    std::string const duration = "toucan_request_duration_milliseconds";
    for (std::string const& line : { std::string("# TYPE " + duration + " histogram\n"),
             std::string(duration + "_bucket{service=\"app\",le=\"2\"} 0\n"),
             std::string(duration + "_bucket{service=\"app\",le=\"5\"} 1\n"),
             std::string(duration + "_bucket{service=\"app\",le=\"40\"} 1\n"),
             std::string(duration + "_bucket{service=\"app\",le=\"59\"} 2\n"),
             std::string(duration + "_bucket{service=\"app\",le=\"5000\"} 2\n"),
             std::string(duration + "_bucket{service=\"app\",le=\"+Inf\"} 3\n"),
             std::string(duration + "_sum{service=\"app\"} 60062\n"),
             std::string(duration + "_count{service=\"app\"} 3\n"),
             std::string("toucan_requests_total{service=\"app\",outcome=\"ran\"} 2\n"),
             std::string("toucan_requests_total{service=\"app\",outcome=\"not-run\"} 1\n"),
             std::string("toucan_responses_total{service=\"app\",status=\"503\"} 1\n"),
             std::string("toucan_peers{state=\"alive\"} 2\n"), std::string("toucan_peers{state=\"dead\"} 1\n") })
        CHECK_TEXT(text.find(line) != std::string::npos, line.c_str());
}
