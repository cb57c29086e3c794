#include "Base/Error.h"
#include "Base/Json.h"
#include "Bench/LatencyHistogram.h"
#include "Bench/LoadPlan.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>

using namespace Toucan;
using namespace Toucan::Bench;

static LoadSettings settingsWith(std::string const& moreMembers)
{
    return LoadSettings::parse(parseJson(R"({"seed":7,"durationMs":20000,"history":"unused",
        "nodes":[{"name":"n","address":"127.0.0.1:1"}],
        "mix":[{"service":"a","rate":200},{"service":"b","kind":"command","rate":50,"duplicates":0.2}])"
        + moreMembers + "}"));
}

TEST_GROUP(LoadPlan) {};

// Guards against load plans that differ between runs with the same seed.
TEST(LoadPlan, EqualSeedsGiveEqualArrivals)
{
    auto const first = planArrivals(settingsWith(""));
    auto const second = planArrivals(settingsWith(""));
    LONGS_EQUAL(first.size(), second.size());
    for (size_t index = 0; index < first.size(); ++index)
        DOUBLES_EQUAL(first[index].at.value, second[index].at.value, 0);
}

// Guards against rates that differ from the settings: 5,000 arrivals have a standard deviation of 71.
TEST(LoadPlan, RatesAndSharesAreThoseOfTheSettings)
{
    auto const arrivals = planArrivals(settingsWith(""));
    DOUBLES_EQUAL(5000, arrivals.size(), 300);
    auto const isCommand = [](Arrival const& arrival) { return arrival.kind == LoadKind::Command; };
    DOUBLES_EQUAL(1000, std::count_if(arrivals.begin(), arrivals.end(), isCommand), 130);
    auto const isDuplicated = [](Arrival const& arrival) { return arrival.duplicated; };
    DOUBLES_EQUAL(200, std::count_if(arrivals.begin(), arrivals.end(), isDuplicated), 60);
    CHECK_TRUE(std::is_sorted(
        arrivals.begin(), arrivals.end(), [](auto const& left, auto const& right) { return left.at < right.at; }));
}

// Guards against an overload experiment whose load does not end with its step.
TEST(LoadPlan, StepsChangeTheRate)
{
    auto const arrivals
        = planArrivals(settingsWith(R"(,"steps":[{"atMs":5000,"factor":4},{"atMs":10000,"factor":0}])"));
    auto const before
        = std::count_if(arrivals.begin(), arrivals.end(), [](auto const& arrival) { return arrival.at < 5000_ms; });
    DOUBLES_EQUAL(1250, before, 150);
    DOUBLES_EQUAL(5000, arrivals.size() - before, 300);
    CHECK_TRUE(arrivals.back().at <= 10000_ms);
}

// Guards against a rate in the settings that makes the planning exhaust the memory instead of failing with an error.
TEST(LoadPlan, RefusesTooManyArrivals)
{
    auto settings = settingsWith("");
    settings.mix.front().rate = 1e9;
    CHECK_THROWS(Error, planArrivals(settings));
}

TEST_GROUP(LatencyHistogram) {};

// Guards against quantiles that are off by more than a bin, or lower than the exact value.
TEST(LatencyHistogram, QuantilesAreUpperEdgesOfTheirBins)
{
    LatencyHistogram histogram;
    for (int index = 1; index <= 1000; ++index)
        histogram.add({ static_cast<double>(index) });
    for (auto const& [share, exact] :
        { std::pair { 0.5, 500.0 }, std::pair { 0.99, 990.0 }, std::pair { 0.999, 999.0 } }) {
        CHECK_TRUE(histogram.quantile(share).value >= exact);
        CHECK_TRUE(histogram.quantile(share).value <= exact * 1.013);
    }
}

// Guards against latencies outside the range of the histogram that are not counted or make a quantile wrong.
TEST(LatencyHistogram, CountsLatenciesOutsideTheRange)
{
    LatencyHistogram histogram;
    histogram.add(0_ms);
    histogram.add({ 1e9 });
    LONGS_EQUAL(2, histogram.count());
    DOUBLES_EQUAL(100000, histogram.quantile(1).value, 1);
}
