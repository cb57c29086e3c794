#include "Gateway/TargetNotice.h"
#include "GatewayFixture.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;
using State = TargetRegistration::State;

static TargetNotice limitOf(std::vector<std::string> const& values, int status = 200)
{
    Poco::Net::HTTPResponse head;
    head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    for (auto const& value : values)
        head.add("toucan-rate-limit", value);
    return readNotice(head, {});
}

TEST_GROUP(TargetRateLimit)
{
    using Fields = std::map<std::string, std::string>;
    GatewayFixture fixture;

    void setup() override { fixture.installForwarded(Repeatability::Idempotent); }

    TargetDirectory& directory() { return fixture.gateway.sharedContext().directory; }
    uint64_t metric(char const* name) { return fixture.gateway.sharedContext().metrics.value(name); }

    bool hasLine(std::string const& text)
    {
        return std::any_of(fixture.lines.begin(), fixture.lines.end(),
            [&text](std::string const& line) { return line.find(text) != std::string::npos; });
    }

    static Fields stated(std::string const& limit) { return { { "Toucan-Rate-Limit", limit } }; }

    /// Sends a request to "near", which answers it with the given fields.
    void answerFromNear(Fields const& fields, int status = 200)
    {
        fixture.request("/fetch/1");
        STRCMP_EQUAL("near:1", fixture.sent.back()->message.address.c_str());
        fixture.reply(fixture.sent.size() - 1, status, "body", "s", fields);
    }
};

// Guards against a limit that is read wrongly, and against one odd value that ends the use of a target or the process.
TEST(TargetRateLimit, ReadsTheLimit)
{
    for (int const status : { 200, 404, 500, 503 })
        DOUBLES_EQUAL(25.5, limitOf({ "25.5" }, status).rateLimit.value_or(-1), 1e-9);
    DOUBLES_EQUAL(0, limitOf({ "0" }).rateLimit.value_or(-1), 1e-9);
    DOUBLES_EQUAL(20, limitOf({ "25", "20", "x" }).rateLimit.value_or(-1), 1e-9);
    CHECK_FALSE(limitOf({}).rateLimit);
    CHECK_FALSE(limitOf({ "25" }, 421).rateLimit);
    for (auto const& odd : { std::string("-1"), std::string("many"), std::string(), std::string("nan"),
             std::string("inf"), std::string("25, 30"), std::string(400, '9') }) {
        auto const notice = limitOf({ odd });
        CHECK_TEXT(!notice.rateLimit, odd.c_str());
        CHECK_EQUAL(odd, notice.unusableRateLimit);
    }
}

// Guards against a limit that operators can't see, or of which they can't see what was sent under it.
TEST(TargetRateLimit, LimitIsLoggedFromItsStatementToItsEnd)
{
    answerFromNear(stated("25.5"));
    CHECK(hasLine("event=target-limit request=r1 target=near service=store per_second=25.50 before=none"));
    answerFromNear(stated("25.5"));
    LONGS_EQUAL(1, metric("target_limits"));
    fixture.advance(1000_ms);
    answerFromNear(stated("12"));
    CHECK(hasLine("per_second=12.00 before=25.50"));
    LONGS_EQUAL(2, metric("target_limits"));
    LONGS_EQUAL(2, metric("limited_attempts"));
    fixture.advance(1000_ms);
    answerFromNear({});
    CHECK(hasLine("event=target-limit-ended request=r1 target=near service=store sent=3"));
    answerFromNear(stated("a lot"));
    CHECK(hasLine("event=target-limit-unusable request=r1 target=near value=\"a lot\""));
}

// Guards against a limit that an answer ends which the target had sent before it stated the limit, or which is not its
// answer to this request.
TEST(TargetRateLimit, OnlyAnAnswerToALaterRequestEndsTheLimit)
{
    fixture.request("/fetch/1");
    fixture.advance(10_ms);
    answerFromNear(stated("25"));
    auto const near = directory().find("near");
    fixture.reply(0, 200, "body");
    CHECK(near->rateLimit());
    fixture.advance(1000_ms);
    fixture.request("/fetch/1");
    auto const& onResponseHead = fixture.sent.back()->message.onResponseHead;
    Poco::Net::HTTPResponse head;
    head.set("Toucan-Request-Id", "r1");
    onResponseHead(head);
    CHECK(near->rateLimit());
    head.set("Toucan-Signature", "s");
    head.set("Toucan-Request-Id", "another");
    onResponseHead(head);
    CHECK(near->rateLimit());
    head.setStatus(Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST);
    head.set("Toucan-Request-Id", "r1");
    onResponseHead(head);
    CHECK(near->rateLimit());
    head.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
    onResponseHead(head);
    CHECK_FALSE(near->rateLimit());
}

// Guards against a limit that the lapse of the target's entry ends, and against one that outlives the target's process.
TEST(TargetRateLimit, LimitLastsAsLongAsTheIncarnation)
{
    answerFromNear(stated("25"));
    auto const registration = directory().find("near")->registration();
    directory().remove("near", TargetDirectory::Removal::AtOnce, {});
    directory().put(registration, fixture.time);
    auto const near = directory().find("near");
    CHECK(near->rateLimit());
    DOUBLES_EQUAL(25, near->rateLimit()->requestsPerSecond(), 1e-9);
    auto next = registration;
    ++next.incarnation;
    directory().put(next, fixture.time);
    CHECK_FALSE(directory().find("near")->rateLimit());
}

// Guards against a limit that comes back with the target's entry after the target has ended it.
TEST(TargetRateLimit, LimitThatEndedWhileTheEntryWasAwayDoesNotReturn)
{
    answerFromNear(stated("25"));
    fixture.advance(1000_ms);
    fixture.request("/fetch/1");
    auto const late = fixture.sent.size() - 1;
    auto const registration = directory().find("near")->registration();
    directory().remove("near", TargetDirectory::Removal::AtOnce, {});
    fixture.reply(late, 200, "body");
    directory().put(registration, fixture.time);
    CHECK_FALSE(directory().find("near")->rateLimit());
}
