#include "Base/Error.h"
#include "Base/Json.h"
#include "Operator/BurnReport.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

/// A node's response with one service "app", an objective of 99 % and the given bad requests of 1000 in each window.
static Json::Value answer(unsigned bad5m, unsigned bad1h, unsigned bad6h, unsigned bad3d)
{
    auto result = parseJson(R"({"node":"n","services":{"app":{"objective":{"latencyMs":59,"ratio":0.99}}}})");
    auto& windows = result["services"]["app"]["windows"];
    for (auto const& [window, bad] : { std::pair { "5m", bad5m }, std::pair { "1h", bad1h }, std::pair { "6h", bad6h },
             std::pair { "3d", bad3d } }) {
        windows[window]["good"] = 1000 - bad;
        windows[window]["total"] = 1000;
    }
    return result;
}

static BurnReport::Level levelOf(Json::Value const& nodeAnswer)
{
    BurnReport report;
    report.add("entry-1", nodeAnswer);
    return BurnReport::level(report.services().at("app"));
}

TEST_GROUP(BurnReport) {};

// Guards against averaging the nodes' rates, which would give an idle node the same weight as a busy one.
TEST(BurnReport, SumsCountsOverNodes)
{
    BurnReport report;
    report.add("entry-1", answer(30, 10, 0, 0));
    report.add("entry-2", answer(10, 10, 0, 0));
    auto const& service = report.services().at("app");
    UNSIGNED_LONGS_EQUAL(2000, service.windows.at("5m").total);
    DOUBLES_EQUAL(2.0, BurnReport::burnRate(service, "5m"), 1e-9);
    DOUBLES_EQUAL(1.0, BurnReport::burnRate(service, "1h"), 1e-9);
    DOUBLES_EQUAL(0.0, BurnReport::burnRate(service, "2h"), 0);
}

// Guards against alerts on a single window: the long one shows that the use of the error budget is significant, the
// short one that it still continues.
TEST(BurnReport, AlertsOnlyWhenBothWindowsBurn)
{
    CHECK(levelOf(answer(0, 0, 0, 0)) == BurnReport::Level::Ok);
    CHECK(levelOf(answer(150, 150, 0, 0)) == BurnReport::Level::Page);
    CHECK(levelOf(answer(150, 100, 0, 0)) == BurnReport::Level::Ok);
    CHECK(levelOf(answer(0, 150, 0, 0)) == BurnReport::Level::Ok);
    CHECK(levelOf(answer(0, 70, 70, 0)) == BurnReport::Level::Page);
    CHECK(levelOf(answer(0, 0, 70, 5)) == BurnReport::Level::Ok);
    CHECK(levelOf(answer(0, 0, 15, 15)) == BurnReport::Level::Ticket);
}

TEST(BurnReport, WindowWithoutRequestsBurnsNothing)
{
    BurnReport report;
    report.add("entry-1", parseJson(R"({"services":{"app":{"objective":{"latencyMs":59,"ratio":0.99},
            "windows":{"5m":{"good":0,"total":0}}}}})"));
    DOUBLES_EQUAL(0, BurnReport::burnRate(report.services().at("app"), "5m"), 0);
    STRCMP_CONTAINS("  -  ok", report.table().c_str());
}

// Guards against an incomplete report that does not name the missing nodes.
TEST(BurnReport, NamesMissingNodes)
{
    BurnReport report;
    report.add("entry-1", answer(0, 0, 0, 0));
    report.addMissingNode("entry-2", "No <answer>");
    STRCMP_CONTAINS("incomplete: node entry-2 is not counted: No <answer>", report.table().c_str());
    CHECK_FALSE(report.toJson()["complete"].asBool());
    STRCMP_CONTAINS("Incomplete: node entry-2 is not counted: No &lt;answer&gt;", report.toHtml("now").c_str());
}

// Guards against counting a part of a malformed response.
TEST(BurnReport, RejectsMalformedResponsesCompletely)
{
    BurnReport report;
    for (auto const* text : { "[]", "{}", R"({"services":{"a":1}})", R"({"services":{"a":{"windows":{}}}})",
             R"({"services":{"a":{"objective":{"latencyMs":1,"ratio":"x"},"windows":{}}}})",
             R"({"services":{"a":{"objective":{"latencyMs":1,"ratio":0.9},"windows":{"5m":{"good":2,"total":1}}}}})" })
        CHECK_THROWS(Error, report.add("entry-1", parseJson(text)));
    CHECK(report.services().empty());
    UNSIGNED_LONGS_EQUAL(0, report.toJson()["nodes"].size());
}

// Guards against external resources, which the reader may be unable to load, and against unescaped names.
TEST(BurnReport, PageIsSelfContainedAndEscaped)
{
    auto nodeAnswer = answer(150, 150, 0, 0);
    nodeAnswer["services"]["<b>&\""] = nodeAnswer["services"]["app"];
    BurnReport report;
    report.add("entry-1", nodeAnswer);
    auto const page = report.toHtml("2026-01-01T00:00:00Z");
    for (auto const* text : { "src=", "href=", "@import", "url(", "<script", "<b>" })
        CHECK_TEXT(page.find(text) == std::string::npos, text);
    STRCMP_CONTAINS("&lt;b&gt;&amp;&quot;", page.c_str());
    STRCMP_CONTAINS("<tr class=\"page\"><td>app</td><td>99 % in 59 ms</td><td>15.00</td>", page.c_str());
}
