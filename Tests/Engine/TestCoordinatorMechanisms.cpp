#include "CoordinatorFixture.h"
#include "Engine/CoordinatorState.h"

#include "Base/LatencyHistogram.h"
#include "Engine/TargetHealth.h"
#include "Engine/TokenBucket.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(CoordinatorMechanisms)
{
    CoordinatorFixture fixture;
    TestConfiguration configuration;

    void setup() override
    {
        configuration.addSnapshot("s1", 1, { { "a", "b" }, { "b", "c" }, { "c", "a" } });
        fixture.configure(configuration);
    }
    void configureOneShard()
    {
        configuration.service().snapshots.clear();
        configuration.addSnapshot("s1", 1, { { "a", "b", "c" } });
        fixture.configure(configuration);
    }
    CommandRequest makeCommand()
    {
        CommandRequest command;
        command.requestKey = "key";
        command.requestId = "r1";
        command.service = "s";
        command.record = "record";
        command.remaining = 50_ms;
        return command;
    }
};

// Guards against an answer that mixes two snapshots after a repartition in the middle of a query.
TEST(CoordinatorMechanisms, QueryKeepsItsSnapshot)
{
    fixture.start(1);
    auto const parts = fixture.takeParts();
    configuration.addSnapshot("s2", 2, { { "a", "b" }, { "b", "c" } });
    fixture.configure(configuration);
    for (auto const& part : parts)
        fixture.deliver(part);
    STRCMP_EQUAL("s1", fixture.answers.at(0).snapshot.c_str());
    fixture.start(2);
    auto const later = fixture.takeParts();
    LONGS_EQUAL(2, later.size());
    STRCMP_EQUAL("s2", later[0].snapshot.c_str());
}

// Guards against pinning a snapshot in which a shard has no usable replica.
TEST(CoordinatorMechanisms, PinsTheNewestCompleteSnapshot)
{
    configuration.addSnapshot("s2", 2, { { "a" }, { "b" } });
    fixture.configure(configuration);
    fixture.coordinator.setTargetState("a", TargetState::Draining, fixture.now);
    fixture.start(1);
    for (auto const& part : fixture.takeParts()) {
        STRCMP_EQUAL("s1", part.snapshot.c_str());
        CHECK(part.target != "a");
    }
}

// Guards against an error, or parts of two snapshots, when the last replica of a shard drops the pinned one.
TEST(CoordinatorMechanisms, RestartsWhenTheLastReplicaDropsTheSnapshot)
{
    configuration.addSnapshot("s2", 2, { { "a" }, { "b" } });
    fixture.configure(configuration);
    fixture.start(1);
    auto const parts = fixture.takeParts();
    fixture.deliver(parts.at(1));
    fixture.deliver(parts.at(0), PartStatus::SnapshotUnavailable);
    auto const restarted = fixture.takeParts();
    LONGS_EQUAL(3, restarted.size());
    for (auto const& part : restarted)
        fixture.deliver(part);
    auto const& answer = fixture.answers.at(0);
    STRCMP_EQUAL("s1", answer.snapshot.c_str());
    LONGS_EQUAL(3, answer.hits.size());
    LONGS_EQUAL(1, fixture.counter("restarts"));
}

// Guards against a query that fails because the snapshot which replaces its own was published after it began.
TEST(CoordinatorMechanisms, RestartsAtASnapshotOfALaterConfiguration)
{
    fixture.configure(configuration);
    fixture.start(1);
    auto const parts = fixture.takeParts();
    configuration.addSnapshot("s2", 2, { { "a" }, { "b" } });
    fixture.configure(configuration);
    for (auto const& part : parts)
        fixture.deliver(part, PartStatus::SnapshotUnavailable);
    // The query restarts only after every replica of a shard has reported that it lacks the snapshot.
    for (int round = 0; round < 4 && fixture.counter("restarts") == 0; ++round) {
        for (auto const& part : fixture.takeParts())
            fixture.deliver(part, PartStatus::SnapshotUnavailable);
    }
    LONGS_EQUAL(1, fixture.counter("restarts"));
    // Some of these parts may be retries at the old snapshot that the restart cancelled; their results must not count.
    for (auto const& part : fixture.takeParts())
        fixture.deliver(part);
    LONGS_EQUAL(200, fixture.answers.at(0).status);
    STRCMP_EQUAL("s2", fixture.answers.at(0).snapshot.c_str());
    LONGS_EQUAL(2, fixture.answers.at(0).coverage.merged);
    LONGS_EQUAL(2, fixture.answers.at(0).hits.size());
}

// Guards against a restart that cannot finish before the deadline.
TEST(CoordinatorMechanisms, NoRestartShortlyBeforeTheDeadline)
{
    configuration.addSnapshot("s2", 2, { { "a" }, { "b" } });
    fixture.configure(configuration);
    fixture.start(1);
    auto const parts = fixture.takeParts();
    fixture.advanceTo(fixture.now + Milliseconds { 58.5 });
    fixture.deliver(parts.at(0), PartStatus::SnapshotUnavailable);
    LONGS_EQUAL(0, fixture.counter("restarts"));
    LONGS_EQUAL(503, fixture.answers.at(0).status);
}

// Guards against one slow part that determines the latency of the query, and against a slower attempt that keeps
// running after the hedge has answered.
TEST(CoordinatorMechanisms, HedgesAfterTheQuantileAndCancelsTheSlowerAttempt)
{
    configureOneShard();
    fixture.warmUp(50, 4_ms);
    fixture.start(1);
    auto const first = fixture.takeParts().at(0);
    fixture.advanceTo(fixture.now + 3_ms);
    LONGS_EQUAL(0, fixture.parts.size());
    fixture.advanceTo(fixture.now + 2_ms);
    auto const hedge = fixture.takeParts().at(0);
    CHECK(hedge.target != first.target);
    fixture.deliver(hedge);
    LONGS_EQUAL(200, fixture.answers.at(0).status);
    CHECK(fixture.wasCancelled(first.attempt));
}

// Guards against hedges under a rule that turns them off.
TEST(CoordinatorMechanisms, SendsNoHedgeWhenTurnedOff)
{
    configuration.rule().hedge = Feature::Off;
    configureOneShard();
    fixture.warmUp(50, 4_ms);
    fixture.start(1);
    fixture.takeParts();
    fixture.advanceTo(fixture.now + 40_ms);
    LONGS_EQUAL(0, fixture.parts.size());
}

// Guards against extra load above the budget when every part is slow.
TEST(CoordinatorMechanisms, HedgesAndRetriesStayWithinTheBudget)
{
    configureOneShard();
    fixture.warmUp(50, 4_ms);
    for (RequestHandle handle = 1; handle <= 200; ++handle) {
        fixture.start(handle);
        fixture.advanceTo(fixture.now + 6_ms);
        for (auto const& part : fixture.takeParts())
            fixture.deliver(part);
    }
    auto const extra = fixture.counter("hedges") + fixture.counter("retries");
    CHECK(extra > 0);
    CHECK(extra <= 10 + (200 + 50) / 20);
}

// Guards against extra load above the budget in the first seconds of a node, and against hedges that leave no token for
// retries.
TEST(CoordinatorMechanisms, HedgesLeaveTheReserveToRetries)
{
    TokenBucket bucket;
    CHECK(bucket.tryTakeForHedge());
    CHECK(!bucket.tryTakeForHedge());
    for (int index = 0; index < 20; ++index)
        bucket.fill(0.0625);
    CHECK(bucket.tryTakeForHedge());
    CHECK(!bucket.tryTakeForHedge());
    for (int index = 0; index < 5; ++index)
        CHECK(bucket.tryTake());
    CHECK(!bucket.tryTake());
}

// Guards against a service with few parts on each node that is never hedged, or whose hedge delay reflects a single
// slow replica.
TEST(CoordinatorMechanisms, HedgeDelayOfAServiceWithFewPartsComesFromItsRule)
{
    CoordinatorState state({}, "n1/1");
    Rule rule;
    rule.name = "rule";
    CHECK(!state.hedgeDelay("quiet", rule, 0_ms));
    for (int index = 0; index < 100; ++index)
        state.statisticsOf(rule).partLatency.add(4_ms, 0_ms);
    for (int index = 0; index < 100; ++index)
        state.statisticsOf("quiet").partLatency.add(40_ms, 0_ms);
    CHECK(*state.hedgeDelay("quiet", rule, 0_ms) < 5_ms);
    for (int index = 0; index < 300; ++index)
        state.statisticsOf("quiet").partLatency.add(40_ms, 0_ms);
    CHECK(*state.hedgeDelay("quiet", rule, 50_ms) >= 40_ms);
}

// Guards against a retry storm: a refusal by a dispatcher ends the query at once while limits are on.
TEST(CoordinatorMechanisms, NoRetryUnderOverload)
{
    configureOneShard();
    fixture.start(1);
    fixture.deliver(fixture.takeParts().at(0), PartStatus::Refused);
    LONGS_EQUAL(0, fixture.parts.size());
    CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);

    configuration.rule().limits = Feature::Off;
    fixture.configure(configuration);
    fixture.start(2);
    fixture.deliver(fixture.takeParts().at(0), PartStatus::Refused);
    LONGS_EQUAL(1, fixture.parts.size());
}

// Guards against ejecting so many targets that the rest is overloaded.
TEST(CoordinatorMechanisms, EjectsAtMostOneThird)
{
    configureOneShard();
    for (RequestHandle handle = 1; handle <= 40; ++handle) {
        fixture.start(handle);
        for (auto parts = fixture.takeParts(); !parts.empty(); parts = fixture.takeParts()) {
            for (auto const& part : parts)
                fixture.deliver(part, part.target == "c" ? PartStatus::Complete : PartStatus::TargetError);
        }
        fixture.coordinator.abandon(handle, fixture.now);
    }
    LONGS_EQUAL(1, fixture.counter("ejections"));
}

// Guards against ejection under a rule that turns it off.
TEST(CoordinatorMechanisms, EjectsNoTargetWhenTurnedOff)
{
    configuration.rule().ejection = Feature::Off;
    configureOneShard();
    for (RequestHandle handle = 1; handle <= 20; ++handle) {
        fixture.start(handle);
        fixture.deliver(fixture.takeParts().at(0), PartStatus::TargetError);
        fixture.coordinator.abandon(handle, fixture.now);
        fixture.takeParts();
    }
    LONGS_EQUAL(0, fixture.counter("ejections"));
}

// Guards against flooding a target that has just become ready.
TEST(CoordinatorMechanisms, SlowStartSendsLessToANewTarget)
{
    configureOneShard();
    fixture.warmUp(60, 4_ms);
    configuration.addTarget("d");
    configuration.service().snapshots.clear();
    configuration.addSnapshot("s2", 2, { { "a", "d" } });
    fixture.configure(configuration);
    auto const countPartsOfNewTarget = [&] {
        size_t count = 0;
        for (RequestHandle handle = 1; handle <= 20; ++handle) {
            fixture.start(handle);
            for (auto const& part : fixture.takeParts()) {
                count += part.target == "d" ? 1 : 0;
                fixture.deliver(part);
            }
        }
        return count;
    };
    LONGS_EQUAL(0, countPartsOfNewTarget());
    fixture.advanceTo(fixture.now + 5001_ms);
    CHECK(countPartsOfNewTarget() > 0);
}

// Guards against a second attempt of a command that may have run.
TEST(CoordinatorMechanisms, CommandIsRetriedOnlyWhenItCertainlyDidNotRun)
{
    fixture.coordinator.startCommand(makeCommand(), fixture.now);
    fixture.deliver(fixture.takeParts().at(0), PartStatus::ConnectFailed);
    auto const second = fixture.takeParts().at(0);
    CHECK(second.idempotence == Idempotence::NonIdempotent);
    fixture.deliver(second, PartStatus::ConnectionLost);
    LONGS_EQUAL(0, fixture.parts.size());
    CHECK(fixture.commandResults.at(0).outcome == Outcome::Unknown);
    fixture.coordinator.startCommand(makeCommand(), fixture.now);
    fixture.deliver(fixture.takeParts().at(0));
    CHECK(fixture.commandResults.at(1).outcome == Outcome::Ran);
}

// Guards against "not run" for a command whose attempt has no result at the deadline.
TEST(CoordinatorMechanisms, CommandWithoutResultIsUnknown)
{
    fixture.coordinator.startCommand(makeCommand(), fixture.now);
    fixture.advanceTo(fixture.now + 200_ms);
    CHECK(fixture.commandResults.at(0).outcome == Outcome::Unknown);
    LONGS_EQUAL(0, fixture.coordinator.running());
}

// Guards against a quantile that includes outdated latencies.
TEST(CoordinatorMechanisms, LatencyHistogramDropsOldLatencies)
{
    LatencyHistogram histogram;
    for (int index = 0; index < 100; ++index)
        histogram.add(100_ms, 10000_ms);
    CHECK(histogram.quantile(0.95, 10000_ms).value() > 90_ms);
    for (int index = 0; index < 100; ++index)
        histogram.add(2_ms, 21000_ms);
    CHECK(histogram.quantile(0.95, 21000_ms).value() < 3_ms);
}

// Guards against a replica that was slow once and is never tried again.
TEST(CoordinatorMechanisms, SlowLatencyDecays)
{
    TargetHealth slow;
    TargetHealth fast;
    slow.addSuccess(100_ms, 0_ms);
    fast.addSuccess(4_ms, 0_ms);
    CHECK(slow.cost(2, 1_ms, 0_ms) > fast.cost(2, 1_ms, 0_ms));
    fast.addSuccess(4_ms, 6000_ms);
    CHECK(slow.cost(2, 1_ms, 6000_ms) < fast.cost(2, 1_ms, 6000_ms));
}

// Guards against a slow replica that is chosen again and again, because its cancelled attempts do not count.
TEST(CoordinatorMechanisms, CancelledAttemptRestoresTheSlowLatency)
{
    TargetHealth slow;
    TargetHealth fast;
    slow.addSuccess(40_ms, 0_ms);
    fast.addSuccess(4_ms, 4000_ms);
    CHECK(slow.cost(2, 1_ms, 4000_ms) < fast.cost(2, 1_ms, 4000_ms));
    slow.addLatencyLowerBound(12_ms, 4000_ms);
    CHECK(slow.cost(2, 1_ms, 4000_ms) > fast.cost(2, 1_ms, 4000_ms));
}

// Guards against parts that are sent at a constant rate to a replica that stays slow.
TEST(CoordinatorMechanisms, ReplicaThatStaysSlowIsTriedLessOften)
{
    TargetHealth slow;
    TargetHealth fast;
    slow.addSuccess(40_ms, 0_ms);
    slow.addSuccess(40_ms, 4000_ms);
    fast.addSuccess(4_ms, 8000_ms);
    CHECK(slow.cost(2, 1_ms, 8000_ms) > fast.cost(2, 1_ms, 8000_ms));
    fast.addSuccess(4_ms, 11000_ms);
    CHECK(slow.cost(2, 1_ms, 11000_ms) < fast.cost(2, 1_ms, 11000_ms));
}
