#include "Gateway/RegistrySync.h"
#include "Gateway/TargetNotice.h"
#include "GatewayFixture.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;
using State = TargetRegistration::State;
using Transport = AttemptReply::Transport;

static TargetNotice noticeOf(std::vector<std::string> const& retryAfter, int status = 503, std::string const& date = "")
{
    Poco::Net::HTTPResponse head;
    head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    for (auto const& value : retryAfter)
        head.add("retry-after", value);
    if (!date.empty())
        head.set("Date", date);
    return readNotice(head, {});
}

/// Milliseconds of the wait; negative without one.
static double waitOf(std::vector<std::string> const& retryAfter, std::string const& date = "")
{
    return noticeOf(retryAfter, 503, date).wait.value_or(Milliseconds { -1 }).value;
}

TEST_GROUP(TargetNotice) { GatewayFixture fixture; };

// Guards against a wait that is read wrongly, and against one odd value that ends the use of a target or the process.
TEST(TargetNotice, ReadsRetryAfter)
{
    DOUBLES_EQUAL(4000, waitOf({ "4" }), 1e-6);
    DOUBLES_EQUAL(250, waitOf({ "0.25" }), 1e-6);
    // The three forms of RFC 9110, section 5.6.7.
    auto const* const now = "Sun, 06 Nov 1994 08:49:37 GMT";
    for (auto const* const end :
        { "Sun, 06 Nov 1994 08:49:42 GMT", "Sunday, 06-Nov-94 08:49:42 GMT", "Sun Nov  6 08:49:42 1994" })
        DOUBLES_EQUAL(5000, waitOf({ end }, now), 1);
    DOUBLES_EQUAL(5000, waitOf({ "Sun, 06 Nov 1994 08:49:42 GMT" }, "Sunday, 06-Nov-94 08:49:37 GMT"), 1);
    CHECK_FALSE(noticeOf({ "4" }, 200).wait);
    CHECK_FALSE(noticeOf({ "4" }, 421).wait);
    CHECK_FALSE(noticeOf({}).wait);
    for (auto const& odd : { std::string("-3"), std::string("soon"), std::string(), std::string("0"),
             std::string("nan"), std::string("Sun, 06 Nov 1994 08:49:37 GMT"), std::string("4;5") }) {
        auto const notice = noticeOf({ odd });
        CHECK_TEXT(!notice.wait, odd.c_str());
        CHECK_EQUAL(odd, notice.unusableWait);
    }
    for (auto const& huge : { std::string("1e9"), std::string(400, '9'), std::string("601") }) {
        DOUBLES_EQUAL(600000, waitOf({ huge }), 1e-6);
        CHECK_EQUAL(huge, noticeOf({ huge }).unusableWait);
    }
    auto const repeated = noticeOf({ "2", "x", "3" });
    DOUBLES_EQUAL(3000, waitOf({ "2", "x", "3" }), 1e-6);
    STRCMP_EQUAL("x", repeated.unusableWait.c_str());
}

// Guards against new work for a target that says in an answer that it leaves, whatever the answer is.
TEST(TargetNotice, LeavingTargetReceivesNothing)
{
    std::map<std::string, std::string> const leaving { { "Toucan-Leaving", "1" } };
    for (int const status : { 200, 404, 500, 503 }) {
        GatewayFixture gateway;
        gateway.installForwarded(Repeatability::Idempotent);
        gateway.request("/fetch/1");
        STRCMP_EQUAL("near:1", gateway.sent[0]->message.address.c_str());
        gateway.reply(0, status, "body", "s", leaving);
        auto const attempts = gateway.sent.size();
        gateway.advance(60000_ms);
        for (size_t index = 0; index < 5; ++index)
            gateway.request("/fetch/1");
        for (size_t index = attempts; index < gateway.sent.size(); ++index)
            STRCMP_EQUAL("far:1", gateway.sent[index]->message.address.c_str());
        LONGS_EQUAL(1, gateway.gateway.sharedContext().metrics.value("targets_leaving"));
    }
}

// Guards against ignoring the statement in an answer that breaks off, arrives late, or answers another request.
TEST(TargetNotice, HeadOfAnyAnswerCounts)
{
    fixture.installForwarded(Repeatability::Idempotent);
    Poco::Net::HTTPResponse head;
    head.set("Toucan-Leaving", "1");
    fixture.request("/fetch/1");
    fixture.sent[0]->message.onResponseHead(head);
    CHECK(fixture.gateway.sharedContext().directory.find("near")->isLeaving());
    // Another target at the address.
    head.setStatus(Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST);
    fixture.request("/fetch/1");
    fixture.sent[1]->message.onResponseHead(head);
    CHECK_FALSE(fixture.gateway.sharedContext().directory.find("far")->isLeaving());
}

// Guards against a request that waits for a connection and is sent to the target after its statement.
TEST(TargetNotice, WaitingRequestsLeaveTheTarget)
{
    std::map<std::string, std::string> const leaving { { "Toucan-Leaving", "1" } };
    for (bool const leaves : { true, false }) {
        GatewayFixture gateway({ 0, 0, 10000_ms });
        gateway.installForwarded(Repeatability::NonIdempotent);
        gateway.request("/fetch/1");
        gateway.connectionsAreFree = false;
        gateway.request("/fetch/1");
        STRCMP_EQUAL("near:1", gateway.sent[1]->message.address.c_str());
        if (leaves)
            gateway.reply(0, 200, "ok", "s", leaving);
        else
            gateway.replyNotRun(0, "4");
        CHECK_FALSE(gateway.sent[1]->message.maySend());
        gateway.endWithdrawn();
        STRCMP_EQUAL("far:1", gateway.sent.back()->message.address.c_str());
    }
}

// Guards against a leaving target that is used again by the lapse of its entry, a repeated or older registration, or
// time alone, and against one that is never used again.
TEST(TargetNotice, OnlyANewerIncarnationEndsLeaving)
{
    auto& directory = fixture.gateway.sharedContext().directory;
    TargetRegistration registration;
    registration.id = "t";
    registration.service = "store";
    registration.address = "t:1";
    registration.incarnation = 100;
    registration.sequence = 5;
    directory.put(registration, fixture.time);
    auto const first = directory.find("t");
    directory.onLeaving(first);
    auto const isLeaving = [&directory] { return directory.find("t")->isLeaving(); };
    registration.sequence = 6;
    registration.slots = 9;
    directory.put(registration, fixture.time + 60000_ms);
    CHECK(isLeaving());
    directory.remove("t", TargetDirectory::Removal::AtOnce, {});
    directory.put(registration, fixture.time + 90000_ms);
    CHECK(isLeaving());
    directory.remove("t", TargetDirectory::Removal::AtOnce, {});
    registration.incarnation = 99;
    directory.put(registration, fixture.time + 90000_ms);
    CHECK(isLeaving());
    registration.incarnation = 101;
    directory.put(registration, fixture.time + 90000_ms);
    CHECK_FALSE(isLeaving());
    // A late answer of the earlier incarnation.
    directory.onLeaving(first);
    CHECK_FALSE(isLeaving());
}

// Guards against notices of removed targets that take memory without end.
TEST(TargetNotice, NoticesOfRemovedTargetsAreBounded)
{
    auto& directory = fixture.gateway.sharedContext().directory;
    auto const add = [&](std::string const& id) {
        fixture.addTarget(id, "store");
        return directory.find(id);
    };
    for (size_t index = 0; index < 5000; ++index) {
        auto const id = "t" + std::to_string(index);
        directory.onLeaving(add(id));
        directory.remove(id, TargetDirectory::Removal::AtOnce, {});
    }
    CHECK_FALSE(add("t0")->isLeaving());
    CHECK(add("t4999")->isLeaving());
}

// Guards against requests, hedges and retries to a target that wants to wait, and against a target that is not used
// soon after its wait although the others are busier.
TEST(TargetNotice, TurnedAwayTargetWaitsAndReturns)
{
    fixture.installForwarded(Repeatability::Idempotent);
    fixture.request("/fetch/1");
    fixture.replyNotRun(0, "4");
    LONGS_EQUAL(2, fixture.sent.size());
    fixture.reply(1, 200, "ok");
    for (size_t index = 2; fixture.time < 4900_ms; ++index) {
        fixture.request("/fetch/1");
        STRCMP_EQUAL("far:1", fixture.sent.at(index)->message.address.c_str());
        fixture.reply(index, 200, "ok");
        fixture.advance(50_ms);
    }
    fixture.advance(200_ms);
    fixture.request("/fetch/1");
    STRCMP_EQUAL("near:1", fixture.sent.back()->message.address.c_str());
}

// Guards against a target that gets nothing after its wait because the connections to it were closed meanwhile.
TEST(TargetNotice, TargetWithoutConnectionsReturns)
{
    fixture.gateway.install({ 1, { GatewayFixture::forwardedRoute(Repeatability::Idempotent) }, {}, {} });
    fixture.gateway.sharedContext().hooks.hasIdleConnection
        = [](std::string const& address) { return address == "b:1"; };
    fixture.addTarget("a", "store");
    fixture.addTarget("b", "store");
    auto& directory = fixture.gateway.sharedContext().directory;
    fixture.request("/fetch/1");
    STRCMP_EQUAL("b:1", fixture.sent.at(0)->message.address.c_str());
    // The latency that is assumed without measurements, so that both targets are equal.
    fixture.advance(30_ms);
    fixture.reply(0, 200, "ok");
    directory.onWait(directory.find("a"), fixture.time + 5000_ms, fixture.time + 5000_ms);
    fixture.advance(5000_ms);
    fixture.request("/fetch/1");
    STRCMP_EQUAL("a:1", fixture.sent.at(1)->message.address.c_str());
}

// Guards against a target that gets nothing after its wait because it was slower than the others before: no answer can
// show then that it has recovered.
TEST(TargetNotice, SlowTargetReturnsWithOneRequest)
{
    fixture.gateway.install({ 1, { GatewayFixture::forwardedRoute(Repeatability::Idempotent) }, {}, {} });
    fixture.addTarget("a", "store");
    fixture.addTarget("b", "store");
    auto& directory = fixture.gateway.sharedContext().directory;
    directory.find("a")->onSharedSlowdown(8, fixture.time);
    directory.onWait(directory.find("a"), fixture.time + 100_ms, fixture.time + 100_ms);
    fixture.advance(100_ms);
    fixture.request("/fetch/1");
    STRCMP_EQUAL("a:1", fixture.sent.at(0)->message.address.c_str());
    fixture.request("/fetch/1");
    STRCMP_EQUAL("b:1", fixture.sent.at(1)->message.address.c_str());
}

// Guards against a shorter wait that ends a longer one, and against nodes that return all at once.
TEST(TargetNotice, LongestWaitCountsAndReturnsAreSpread)
{
    fixture.addTarget("near", "store");
    auto const target = fixture.gateway.sharedContext().directory.find("near");
    target->waitUntil(5000_ms, 5400_ms);
    target->waitUntil(3000_ms, 3000_ms);
    CHECK(target->isWaiting(5399_ms));
    CHECK_FALSE(target->isWaiting(5400_ms));
    target->waitUntil(6000_ms, 100_ms);
    CHECK(target->isWaiting(5999_ms));
}

// Guards against a request that is held, or spends extra attempts, when every target leaves or wants to wait.
TEST(TargetNotice, RefusedAtOnceWhenNobodyIsLeft)
{
    fixture.installForwarded(Repeatability::Idempotent);
    fixture.request("/fetch/1");
    fixture.replyNotRun(0, "0.4");
    fixture.replyNotRun(1, "0.15");
    LONGS_EQUAL(503, fixture.status(0));
    fixture.request("/fetch/1");
    LONGS_EQUAL(2, fixture.sent.size());
    LONGS_EQUAL(503, fixture.status(1));
    // The earliest end, which is less than a quarter of the caller's 800 ms.
    DOUBLES_EQUAL(0.15, std::stod(fixture.header("Retry-After", 1)), 0.001);
    fixture.advance(151_ms);
    fixture.request("/fetch/1");
    STRCMP_EQUAL("far:1", fixture.sent.at(2)->message.address.c_str());
    fixture.reply(2, 200, "ok", "s", { { "Toucan-Leaving", "1" } });
    fixture.request("/fetch/1");
    LONGS_EQUAL(3, fixture.sent.size());
    LONGS_EQUAL(503, fixture.status(3));
    DOUBLES_EQUAL(0.249, std::stod(fixture.header("Retry-After", 3)), 0.07);
}

// Guards against scattered requests that are sent although too many shards want to wait.
TEST(TargetNotice, ScatteredRequestIsRefusedWhenTooManyShardsWait)
{
    fixture.installScattered(2, 0.8);
    auto& directory = fixture.gateway.sharedContext().directory;
    for (auto const* const id : { "a0", "b0" })
        directory.onWait(directory.find(id), fixture.time + 4000_ms, fixture.time + 4000_ms);
    fixture.request("/search/1");
    LONGS_EQUAL(0, fixture.sent.size());
    LONGS_EQUAL(503, fixture.status());
}

// Guards against other nodes that use a leaving target until they get its registration, and against a statement of an
// earlier incarnation that ends the use of the present one.
TEST(TargetNotice, OtherNodesLearnThatATargetLeaves)
{
    fixture.installForwarded(Repeatability::Idempotent);
    fixture.request("/fetch/1");
    fixture.reply(0, 200, "ok", "s", { { "Toucan-Leaving", "1" }, { "Toucan-Load", "2,8,2,900" } });
    fixture.advance(100_ms);
    LONGS_EQUAL(1, fixture.sharedObservations.size());
    LONGS_EQUAL(1, fixture.sharedObservations[0].size());
    CHECK(fixture.sharedObservations[0][0].leaving);

    GatewayFixture other;
    RegistrySync sync(other.gateway, {}, {});
    auto observation = fixture.sharedObservations[0][0];
    observation.age = 200_ms;
    other.addTarget("near", "store");
    sync.applyObservations({ { observation } });
    CHECK_FALSE(other.gateway.sharedContext().directory.find("near")->isLeaving());
    other.advance(200_ms);
    sync.applyObservations({ { observation } });
    CHECK(other.gateway.sharedContext().directory.find("near")->isLeaving());
}
