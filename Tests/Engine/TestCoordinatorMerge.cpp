#include "CoordinatorFixture.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(CoordinatorMerge)
{
    CoordinatorFixture fixture;
    TestConfiguration configuration;

    void setup() override
    {
        configuration.addSnapshot("s1", 1, { { "a", "b" }, { "b", "c" }, { "c", "a" } });
        fixture.configure(configuration);
    }
};

// Guards against an answer that waits for the deadline although all parts have arrived.
TEST(CoordinatorMerge, AnswersWhenTheLastShardIsMerged)
{
    fixture.start(1);
    auto const parts = fixture.takeParts();
    LONGS_EQUAL(3, parts.size());
    fixture.deliver(parts[0]);
    fixture.deliver(parts[2]);
    LONGS_EQUAL(0, fixture.answers.size());
    fixture.deliver(parts[1]);
    LONGS_EQUAL(1, fixture.answers.size());
    auto const& answer = fixture.answers[0];
    LONGS_EQUAL(200, answer.status);
    CHECK(answer.coverage.isComplete());
    STRCMP_EQUAL("s1", answer.snapshot.c_str());
    CHECK(answer.outcome == Outcome::Ran);
    LONGS_EQUAL(0, fixture.coordinator.running());
}

// Guards against hits in arrival order and against more hits than the caller asked for.
TEST(CoordinatorMerge, SortsByScoreThenIdAndAppliesTheLimit)
{
    auto request = makeQuery(1, fixture.now);
    request.limit = 3;
    fixture.coordinator.startQuery(std::move(request), fixture.now);
    auto const parts = fixture.takeParts();
    for (auto const& part : parts) {
        auto result = makeResult(part);
        result.hits = Json::Value(Json::arrayValue);
        result.hits.append(makeHit("x" + std::to_string(2 - part.shard), 1));
        result.hits.append(makeHit("y" + std::to_string(part.shard), 5 + part.shard));
        fixture.deliver(std::move(result));
    }
    auto const& hits = fixture.answers.at(0).hits;
    LONGS_EQUAL(3, hits.size());
    STRCMP_EQUAL("y2", hits[0]["id"].asCString());
    STRCMP_EQUAL("y1", hits[1]["id"].asCString());
    STRCMP_EQUAL("y0", hits[2]["id"].asCString());
}

// Guards against an order of equal scores that depends on arrival.
TEST(CoordinatorMerge, BreaksTiesById)
{
    fixture.start(1);
    for (auto const& part : fixture.takeParts()) {
        auto result = makeResult(part);
        result.hits[0] = makeHit("x" + std::to_string(2 - part.shard), 1);
        fixture.deliver(std::move(result));
    }
    auto const& hits = fixture.answers.at(0).hits;
    STRCMP_EQUAL("x0", hits[0]["id"].asCString());
    STRCMP_EQUAL("x2", hits[2]["id"].asCString());
}

// Guards against a part that is counted twice and hides a missing shard.
TEST(CoordinatorMerge, DuplicatePartCountsOnce)
{
    fixture.start(1);
    auto const parts = fixture.takeParts();
    fixture.deliver(parts[0]);
    fixture.deliver(parts[0]);
    fixture.deliver(parts[0]);
    fixture.advanceTo(fixture.now + 60_ms);
    auto const& answer = fixture.answers.at(0);
    LONGS_EQUAL(504, answer.status);
    LONGS_EQUAL(1, answer.coverage.merged);
    LONGS_EQUAL(2, answer.coverage.missing.size());
    CHECK(answer.outcome == Outcome::Unknown);
    LONGS_EQUAL(2, fixture.counter("lateResults"));
}

// Guards against a truncated part that is merged as if it were complete.
TEST(CoordinatorMerge, TruncatedPartIsNotMerged)
{
    fixture.start(1);
    auto const parts = fixture.takeParts();
    fixture.deliver(parts[0], PartStatus::Truncated);
    fixture.deliver(parts[1]);
    fixture.deliver(parts[2]);
    LONGS_EQUAL(0, fixture.answers.size());
    auto const retries = fixture.takeParts();
    LONGS_EQUAL(1, retries.size());
    LONGS_EQUAL(parts[0].shard, retries[0].shard);
    CHECK(retries[0].target != parts[0].target);
    fixture.deliver(retries[0]);
    CHECK(fixture.answers.at(0).coverage.isComplete());
    LONGS_EQUAL(1, fixture.counter("truncated"));
}

// Guards against a late part that changes or repeats an answer.
TEST(CoordinatorMerge, LatePartIsDropped)
{
    fixture.start(1);
    auto const parts = fixture.takeParts();
    fixture.advanceTo(fixture.now + 59_ms);
    LONGS_EQUAL(1, fixture.answers.size());
    LONGS_EQUAL(504, fixture.answers[0].status);
    for (auto const& part : parts) {
        CHECK(fixture.wasCancelled(part.attempt));
        fixture.deliver(part);
    }
    LONGS_EQUAL(1, fixture.answers.size());
    LONGS_EQUAL(3, fixture.counter("lateResults"));
}

// Guards against merging the part of another request, snapshot, shard or target when answers are mixed up.
TEST(CoordinatorMerge, MismatchedPartIsAFailedAttempt)
{
    for (uint32_t field = 0; field < 4; ++field) {
        fixture.answers.clear();
        fixture.start(RequestHandle { field } + 1);
        auto const parts = fixture.takeParts();
        auto mismatched = makeResult(parts[1]);
        if (field == 0)
            mismatched.requestId = "other";
        else if (field == 1)
            mismatched.snapshot = "s0";
        else if (field == 2)
            mismatched.shard = parts[0].shard;
        else
            mismatched.target = "other";
        fixture.deliver(std::move(mismatched));
        fixture.deliver(parts[0]);
        fixture.deliver(parts[2]);
        LONGS_EQUAL(0, fixture.answers.size());
        fixture.deliver(fixture.takeParts().at(0));
        CHECK(fixture.answers.at(0).coverage.isComplete());
        LONGS_EQUAL(field + 1, fixture.counter("mismatches"));
    }
}

// Shows that the echo check is what rejects mismatched parts: without it one of them is merged.
TEST(CoordinatorMerge, WithoutEchoCheckAMismatchedPartIsMerged)
{
    configuration.rule().echoCheck = Feature::Off;
    fixture.configure(configuration);
    fixture.start(1);
    auto const parts = fixture.takeParts();
    auto mismatched = makeResult(parts[1]);
    mismatched.requestId = "other";
    fixture.deliver(std::move(mismatched));
    fixture.deliver(parts[0]);
    fixture.deliver(parts[2]);
    LONGS_EQUAL(1, fixture.answers.size());
}

// Guards against a partial answer that is presented as complete, and against one that the rule does not allow.
TEST(CoordinatorMerge, PartialAnswerAtTheDeadlineReportsItsCoverage)
{
    configuration.rule().minimumCoverage = 0.6;
    fixture.configure(configuration);
    fixture.start(1);
    auto const parts = fixture.takeParts();
    fixture.deliver(parts[0]);
    fixture.deliver(parts[2]);
    fixture.advanceTo(fixture.now + 58_ms);
    LONGS_EQUAL(0, fixture.answers.size());
    fixture.advanceTo(fixture.now + 1_ms);
    auto const& answer = fixture.answers.at(0);
    LONGS_EQUAL(200, answer.status);
    CHECK_FALSE(answer.coverage.isComplete());
    LONGS_EQUAL(2, answer.coverage.merged);
    LONGS_EQUAL(1, answer.coverage.missing.at(0));
    LONGS_EQUAL(2, answer.hits.size());
}

// Guards against "not-run" for a query of which a part may have run.
TEST(CoordinatorMerge, OutcomeIsNotRunOnlyWhenNoAttemptCanHaveRun)
{
    fixture.start(1);
    for (auto const& part : fixture.takeParts())
        fixture.deliver(part, PartStatus::Refused);
    LONGS_EQUAL(503, fixture.answers.at(0).status);
    // The first refusal ends the query while two attempts are still pending.
    CHECK(fixture.answers.at(0).outcome == Outcome::Unknown);

    configuration.service().snapshots.clear();
    configuration.addSnapshot("s1", 1, { { "a" } });
    fixture.configure(configuration);
    fixture.start(2);
    fixture.deliver(fixture.takeParts().at(0), PartStatus::Refused);
    CHECK(fixture.answers.at(1).outcome == Outcome::NotRun);
}

// Guards against attempts that keep running, and against an answer, after the caller has disconnected.
TEST(CoordinatorMerge, AbandonedQueryCancelsAndGivesNoAnswer)
{
    fixture.start(1);
    auto const parts = fixture.takeParts();
    fixture.coordinator.abandon(1, fixture.now);
    LONGS_EQUAL(3, fixture.cancelled.size());
    LONGS_EQUAL(0, fixture.coordinator.running());
    for (auto const& part : parts)
        fixture.deliver(part);
    LONGS_EQUAL(0, fixture.answers.size());
}

// Guards against a target that keeps working after the caller's deadline.
TEST(CoordinatorMerge, PassesOnTheRemainingTime)
{
    auto request = makeQuery(1, fixture.now - 10_ms);
    request.timeout = 40_ms;
    fixture.coordinator.startQuery(std::move(request), fixture.now);
    DOUBLES_EQUAL(30, fixture.takeParts().at(0).remaining.value, 0.001);
    DOUBLES_EQUAL(fixture.now.value + 30, fixture.coordinator.nextWakeup().value, 0.001);
}

// Guards against inconsistent state when the send hook delivers a result before it returns.
TEST(CoordinatorMerge, ResultsMayArriveWhileSending)
{
    std::vector<CallerAnswer> answers;
    Coordinator* target = nullptr;
    Coordinator coordinator({ [&](PartRequest const& part) { target->onPartResult(makeResult(part), 5_ms); },
                                [](AttemptId const&, std::string const&) {},
                                [&](CallerAnswer&& answer) { answers.push_back(std::move(answer)); },
                                [](CommandResult&&) {}, [] { return 0.5; } },
        "n1/1");
    target = &coordinator;
    coordinator.setConfiguration(configuration.pointer(), 0_ms);
    coordinator.startQuery(makeQuery(1, 5_ms), 5_ms);
    CHECK(answers.at(0).coverage.isComplete());
    LONGS_EQUAL(0, coordinator.running());
}
