#include "Gateway/ObservationFeed.h"
#include "Gateway/ObservationOutbox.h"
#include "GatewayFixture.h"
#include "GatewayNode/RelayCodec.h"

#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(ObservationOutbox)
{
    GatewayFixture fixture;

    void replyWithLoad(size_t index, std::string const& load)
    {
        AttemptReply reply;
        reply.transport = AttemptReply::Transport::Answered;
        reply.head.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
        reply.head.set("Toucan-Request-Id", "r1");
        reply.head.set("Toucan-Signature", "s" + std::to_string(index));
        reply.head.set("Toucan-Load", load);
        this->fixture.sent.at(index)->done(std::move(reply));
    }
};

// Guards against a message for each answer of a query, and against a slow target that is not reported to other nodes.
TEST(ObservationOutbox, SlowTargetsOfAQueryAreSharedInOneMessage)
{
    fixture.installScattered(3, 1);
    auto const request = fixture.request("/search/x");
    replyWithLoad(0, "1,0,2,800");
    replyWithLoad(1, "1,0,2,500");
    replyWithLoad(2, "1,0,2,130");
    LONGS_EQUAL(0, fixture.sharedObservations.size());
    fixture.advance(100_ms);
    LONGS_EQUAL(1, fixture.sharedObservations.size());
    LONGS_EQUAL(2, fixture.sharedObservations[0].size());
    STRCMP_EQUAL("a0", fixture.sharedObservations[0][0].target.c_str());
    DOUBLES_EQUAL(8, fixture.sharedObservations[0][0].slowdown, 1e-9);
    DOUBLES_EQUAL(50, fixture.sharedObservations[0][0].age.value, 1);
}

// Guards against a message for each answer of a target that is known to be slow, and against a target that other nodes
// avoid after it has recovered.
TEST(ObservationOutbox, OnlyChangedSlowdownsAreShared)
{
    fixture.installScattered(1, 1);
    auto const reportLoad = [this](std::string const& load) {
        auto const target = this->fixture.gateway.sharedContext().directory.find("a0");
        return target->onLoadReport({ 1, 0, 2, std::stod(load) }, this->fixture.time);
    };
    CHECK(reportLoad("8"));
    CHECK(!reportLoad("9"));
    CHECK(reportLoad("1"));
    CHECK(!reportLoad("1.3"));
}

TEST_GROUP(ObservationFeed) { ObservationFeed feed; };

// Guards against sending the same observation to a follower with each answer.
TEST(ObservationFeed, EachObservationIsSentOnceToAFollower)
{
    std::vector<TargetObservation> const first { { "t1", 8, 10_ms }, { "t2", 4, 0_ms } };
    feed.append(first, 1000_ms);
    auto const known = feed.last();
    LONGS_EQUAL(2, feed.after(0, 1100_ms).size());
    DOUBLES_EQUAL(110, feed.after(0, 1100_ms)[0].age.value, 1e-9);
    LONGS_EQUAL(0, feed.after(known, 1100_ms).size());
    std::vector<TargetObservation> const second { { "t1", 1, 0_ms } };
    feed.append(second, 1200_ms);
    LONGS_EQUAL(1, feed.after(known, 1200_ms).size());
    // A newer observation replaces the older one of its target.
    LONGS_EQUAL(2, feed.after(0, 1200_ms).size());
}

// Guards against observations of ended disturbances, and against followers that get no observations from a restarted
// relay.
TEST(ObservationFeed, DropsOldObservationsAndTreatsUnknownNumbersAsZero)
{
    std::vector<TargetObservation> const observations { { "t1", 8, 0_ms } };
    feed.append(observations, 1000_ms);
    LONGS_EQUAL(1, feed.after(7, 1100_ms).size());
    LONGS_EQUAL(0, feed.after(0, 3000_ms).size());
}

// Guards against an answer that grows with the number of slow targets.
TEST(ObservationFeed, HoldsAtMost64Observations)
{
    for (int index = 0; index < 1000; ++index) {
        std::vector<TargetObservation> const observations { { "t" + std::to_string(index), 8, 0_ms } };
        feed.append(observations, 1000_ms);
    }
    CHECK(feed.after(0, 1000_ms).size() <= 64);
}

// Guards against the news that a target leaves being replaced by a slowdown that another node reports.
TEST(ObservationFeed, SlowdownDoesNotReplaceThatATargetLeaves)
{
    ObservationFeed feed;
    TargetObservation leaving { "t1", 1, 0_ms };
    leaving.leaving = true;
    std::vector<TargetObservation> const first { leaving };
    std::vector<TargetObservation> const second { { "t1", 8, 0_ms } };
    feed.append(first, 1000_ms);
    feed.append(second, 1001_ms);
    auto const all = feed.after(0, 1002_ms);
    CHECK(std::any_of(all.begin(), all.end(), [](TargetObservation const& entry) { return entry.leaving; }));
}

TEST_GROUP(ObservationCodec) {};

// Guards against observations that cannot be read in the log.
TEST(ObservationCodec, ObservationsAreFormattedForTheLog)
{
    std::vector<TargetObservation> const observations { { "t1", 7.125, 35_ms }, { "t2", 4, 0_ms } };
    STRCMP_EQUAL("t1:7.13,t2:4.00", toString(observations).c_str());
}

// Guards against observations that encoding and decoding change.
TEST(ObservationCodec, ReadsWhatItWrites)
{
    std::vector<TargetObservation> const observations { { "t1", 7.12, 35_ms } };
    auto const read = readObservations(writeObservations(observations));
    LONGS_EQUAL(1, read.size());
    STRCMP_EQUAL("t1", read[0].target.c_str());
    DOUBLES_EQUAL(7.12, read[0].slowdown, 1e-9);
    DOUBLES_EQUAL(35, read[0].age.value, 1e-9);
    RelayUpdate update;
    update.observations = observations;
    update.lastObservation = 9;
    auto const readUpdate = readRelayUpdate(writeRelayUpdate(update), [](std::string const&) { return std::nullopt; });
    LONGS_EQUAL(1, readUpdate.observations.size());
    LONGS_EQUAL(9, readUpdate.lastObservation);
}

// Guards against accepting a body of an incompatible version.
TEST(ObservationCodec, RefusesWhatItCannotRead)
{
    for (auto const* body : { "", "[]", "{}", R"({"observations":1})", R"({"observations":[["t1"]]})",
             R"({"observations":[["t1",-5,0]]})", R"({"observations":[[1,100,0]]})" })
        CHECK_THROWS(std::exception, readObservations(body));
}
