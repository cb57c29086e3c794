#include "Base/Json.h"
#include "Engine/FrameCodec.h"

#include <array>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(FrameCodec) {};

static PartRequest createPart(char const* attempt, uint32_t shard, SharedText const& body)
{
    PartRequest part;
    part.attempt = attempt;
    part.requestId = "r1";
    part.service = "service";
    part.target = "target";
    part.snapshot = "s1";
    part.shard = shard;
    part.remaining = Milliseconds { 41.5 };
    part.body = body;
    return part;
}

// Guards against a body that is sent once for each shard, and against parts that grouping drops.
TEST(FrameCodec, GroupsPartsOfOneRequest)
{
    auto const body = std::make_shared<std::string const>(R"({"q":1})");
    std::array const parts { createPart("a", 0, body), createPart("b", 1, body) };
    auto const frame = FrameCodec::encodeParts(parts);
    CHECK_EQUAL(1, frame["requests"].size());
    auto const decoded = FrameCodec::decodeParts(parseJson(writeJson(frame)));
    CHECK_EQUAL(2, decoded.size());
    STRCMP_EQUAL("b", decoded[1].attempt.c_str());
    CHECK_EQUAL(1, decoded[1].shard);
    STRCMP_EQUAL(body->c_str(), decoded[1].body->c_str());
    DOUBLES_EQUAL(41.5, decoded[1].remaining.value, 0.001);
}

// Guards against a status of a newer version that an older node would treat as "not run".
TEST(FrameCodec, TreatsAnUnknownStatusAsPossiblyRun)
{
    PartResult result;
    result.status = PartStatus::Shed;
    auto frame = FrameCodec::encodeResults(std::array { result });
    frame["results"][0]["status"] = 99;
    CHECK(!certainlyNotRun(FrameCodec::decodeResults(frame)[0].status));
}

// Guards against a non-idempotent part that arrives as idempotent when the member is missing.
TEST(FrameCodec, TreatsAPartWithoutTheMemberAsNonIdempotent)
{
    auto frame = FrameCodec::encodeParts(std::array { createPart("a", 0, nullptr) });
    frame["requests"][0].removeMember("idempotent");
    CHECK(FrameCodec::decodeParts(frame)[0].idempotence == Idempotence::NonIdempotent);
}

TEST(FrameCodec, RoundTripsACommandResult)
{
    CommandResult result;
    result.requestKey = "key";
    result.outcome = Outcome::NotRun;
    result.status = 503;
    result.problem.type = "refused";
    auto const decoded = FrameCodec::decodeCommandResult(FrameCodec::encodeCommandResult(result));
    CHECK(decoded.outcome == Outcome::NotRun);
    STRCMP_EQUAL("refused", decoded.problem.type.c_str());
}
