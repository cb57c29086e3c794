#include "EngineFixtures.h"

#include "Engine/Dispatcher.h"

#include <algorithm>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(Dispatcher)
{
    TestConfiguration configuration { 1 };
    std::vector<TargetCall> calls;
    std::vector<AttemptId> cancelled;
    std::vector<PartResult> results;
    std::vector<std::string> polls;
    Milliseconds now { 1000 };
    Dispatcher dispatcher { hooks(), "n1" };

    Dispatcher::Hooks hooks()
    {
        return { [this](TargetCall const& call) { calls.push_back(call); },
            [this](AttemptId const& attempt, std::string const&) { cancelled.push_back(attempt); },
            [this](std::string const&, PartResult&& result) { results.push_back(std::move(result)); },
            [this](std::string const& target, std::string const&) { polls.push_back(target); }, [] { return 0.5; },
            {} };
    }

    void setup() override
    {
        dispatcher.setConfiguration(configuration.pointer(), now);
        dispatcher.onTargetStatus("a", TargetState::Serving, {}, now);
    }

    static PartRequest makePart(AttemptId const& attempt, uint32_t classIndex = 1, Milliseconds remaining = 50_ms,
        Idempotence idempotence = Idempotence::Idempotent)
    {
        PartRequest part;
        part.attempt = attempt;
        part.requestId = "r";
        part.service = "s";
        part.target = "a";
        part.snapshot = "s1";
        part.classIndex = classIndex;
        part.remaining = remaining;
        part.idempotence = idempotence;
        return part;
    }

    void submit(AttemptId const& attempt, uint32_t classIndex = 1, Milliseconds remaining = 50_ms,
        Idempotence idempotence = Idempotence::Idempotent)
    {
        dispatcher.submit("n1", makePart(attempt, classIndex, remaining, idempotence), now);
    }
    TargetAnswer makeAnswer(AttemptId const& attempt, int status = 200)
    {
        TargetAnswer answer;
        answer.attempt = attempt;
        answer.target = "a";
        answer.status = status;
        if (status == 200) {
            answer.body["attempt"] = attempt;
            answer.body["requestId"] = "r";
            answer.body["snapshot"] = "s1";
            answer.body["shard"] = 0;
            answer.body["complete"] = true;
            answer.body["hits"] = Json::Value(Json::arrayValue);
        }
        return answer;
    }
    void answer(AttemptId const& attempt, int status = 200)
    {
        dispatcher.onTargetAnswer(makeAnswer(attempt, status), now);
    }
    void shed(AttemptId const& attempt)
    {
        auto shed = makeAnswer(attempt, 503);
        shed.reportedNotStarted = true;
        dispatcher.onTargetAnswer(std::move(shed), now);
    }
};

// Guards against more calls than slots in a burst.
TEST(Dispatcher, SlotLimitHoldsInABurst)
{
    for (int index = 0; index < 10; ++index)
        submit("p" + std::to_string(index));
    LONGS_EQUAL(2, calls.size());
    answer("p0");
    LONGS_EQUAL(3, calls.size());
    STRCMP_EQUAL("p2", calls[2].part.attempt.c_str());
    LONGS_EQUAL(9, dispatcher.running());
}

// Shows that the slot limit is what bounds the calls.
TEST(Dispatcher, WithoutLimitsAllAreSent)
{
    configuration.rule().limits = Feature::Off;
    dispatcher.setConfiguration(configuration.pointer(), now);
    for (int index = 0; index < 100; ++index)
        submit("p" + std::to_string(index));
    LONGS_EQUAL(100, calls.size());
}

// Guards against a least urgent class that occupies all slots, and against an urgent part behind a less urgent one.
TEST(Dispatcher, LeastUrgentClassLeavesOneSlotAndUrgentPartsGoFirst)
{
    submit("b1", 2);
    submit("b2", 2);
    LONGS_EQUAL(1, calls.size());
    submit("i1", 1);
    LONGS_EQUAL(2, calls.size());
    submit("i2", 1);
    submit("u1", 0);
    answer("i1");
    STRCMP_EQUAL("u1", calls.at(2).part.attempt.c_str());
}

// Guards against a queue without bound, and against a full queue that refuses urgent parts for background ones.
TEST(Dispatcher, FullQueueDropsTheLeastUrgentClassFirst)
{
    configuration.rule().queueLimit = 2;
    dispatcher.setConfiguration(configuration.pointer(), now);
    submit("i1");
    submit("i2");
    submit("b1", 2);
    submit("i3");
    submit("i4");
    STRCMP_EQUAL("b1", results.at(0).attempt.c_str());
    CHECK(results[0].status == PartStatus::Refused);
    submit("i5");
    STRCMP_EQUAL("i5", results.at(1).attempt.c_str());
}

// Guards against a queued part that cannot meet its deadline, and against a part that is sent after its deadline.
TEST(Dispatcher, RefusesEarlyAndNeverSendsExpiredParts)
{
    submit("warm");
    now += 20_ms;
    answer("warm");
    for (int index = 0; index < 5; ++index)
        submit("p" + std::to_string(index));
    submit("late", 1, 25_ms);
    STRCMP_EQUAL("late", results.at(1).attempt.c_str());
    CHECK(results[1].status == PartStatus::Refused);
    now += 50_ms;
    dispatcher.advance(now);
    LONGS_EQUAL(5, results.size());
    CHECK(results[2].status == PartStatus::ExpiredInQueue);
    LONGS_EQUAL(3, calls.size());
}

// Guards against slots lost under overload to parts that start before their deadline and end after it.
TEST(Dispatcher, DoesNotSendQueuedPartsThatCannotFinish)
{
    submit("p0");
    now += 10_ms;
    answer("p0");
    submit("p1");
    submit("p2");
    submit("refused", 1, 10_ms);
    STRCMP_EQUAL("refused", results.back().attempt.c_str());
    CHECK(PartStatus::Refused == results.back().status);
    submit("late", 1, 25_ms);
    submit("p3", 1, 100_ms);
    now += 15_ms;
    answer("p1");
    auto const late = std::ranges::find(results, "late", &PartResult::attempt);
    CHECK(late != results.end() && late->status == PartStatus::ExpiredInQueue);
    STRCMP_EQUAL("p3", calls.back().part.attempt.c_str());
}

// Guards against a target that gets no work any more because it was once slower than the deadlines.
TEST(Dispatcher, TargetThatWasSlowIsTriedAgain)
{
    submit("p0", 1, 1000_ms);
    now += 500_ms;
    answer("p0");
    submit("p1");
    STRCMP_EQUAL("p1", calls.back().part.attempt.c_str());
}

// Guards against a limit that ignores shed answers, that falls to zero, or that never rises again.
TEST(Dispatcher, SlotLimitFollowsShedAnswers)
{
    submit("p0");
    submit("p1");
    shed("p0");
    shed("p1");
    CHECK(results.at(0).status == PartStatus::Shed);
    LONGS_EQUAL(1, dispatcher.describe(now)["targets"]["a"]["slots"].asUInt());
    submit("blocked");
    LONGS_EQUAL(2, calls.size());
    now += 20_ms;
    dispatcher.advance(now);
    LONGS_EQUAL(3, calls.size());
    answer("blocked");
    for (int index = 0; index < 100; ++index) {
        submit("g" + std::to_string(index));
        answer("g" + std::to_string(index));
    }
    LONGS_EQUAL(2, dispatcher.describe(now)["targets"]["a"]["slots"].asUInt());
}

// Guards against a cold target that gets a full load.
TEST(Dispatcher, StartingTargetGetsOneCallAtATime)
{
    dispatcher.onTargetStatus("a", TargetState::Starting, {}, now);
    submit("p0");
    submit("p1");
    LONGS_EQUAL(1, calls.size());
}

// Guards against a second send of a command whose message was duplicated.
TEST(Dispatcher, SendsACommandAttemptOnce)
{
    submit("c1", 1, 50_ms, Idempotence::NonIdempotent);
    submit("c1", 1, 50_ms, Idempotence::NonIdempotent);
    answer("c1");
    submit("c1", 1, 50_ms, Idempotence::NonIdempotent);
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(1, results.size());
}

// Guards against new work for a draining target, and against a lagging poll that reverts the state.
TEST(Dispatcher, DrainingTargetGetsNoNewWork)
{
    for (int index = 0; index < 4; ++index)
        submit("p" + std::to_string(index));
    auto draining = makeAnswer("p0");
    draining.state = TargetState::Draining;
    dispatcher.onTargetAnswer(std::move(draining), now);
    LONGS_EQUAL(3, results.size());
    CHECK(results[1].status == PartStatus::Shed);
    CHECK(results[1].state == TargetState::Draining);
    dispatcher.onTargetStatus("a", TargetState::Serving, {}, now + 100_ms);
    submit("p4");
    LONGS_EQUAL(2, calls.size());
}

// Guards against a cancelled part that is sent, and against a sent one that keeps its target busy.
TEST(Dispatcher, CancelsQueuedAndSentParts)
{
    submit("p0");
    submit("p1");
    submit("p2");
    dispatcher.cancel("p2", now);
    CHECK(results.at(0).status == PartStatus::Cancelled);
    dispatcher.cancel("p0", now);
    STRCMP_EQUAL("p0", cancelled.at(0).c_str());
    answer("p0", 499);
    LONGS_EQUAL(2, calls.size());
}

// Guards against polls of targets that have other dispatchers, and against more than one poll a second.
TEST(Dispatcher, PollsEachOwnTargetOnceASecond)
{
    for (int step = 0; step < 300; ++step) {
        now += 10_ms;
        dispatcher.advance(now);
    }
    LONGS_EQUAL(3, polls.size());
}

// Guards against a truncated, mismatched or failed answer that counts as complete.
TEST(Dispatcher, MapsAnswersToStatus)
{
    auto const expect = [&](TargetAnswer&& answer, PartStatus status) {
        submit("p");
        now += 100_ms;
        dispatcher.onTargetAnswer(std::move(answer), now);
        CHECK(results.back().status == status);
    };
    expect(makeAnswer("p"), PartStatus::Complete);
    auto truncated = makeAnswer("p");
    truncated.body["complete"] = false;
    expect(std::move(truncated), PartStatus::Truncated);
    auto mismatched = makeAnswer("p");
    mismatched.body["attempt"] = "other";
    expect(std::move(mismatched), PartStatus::Mismatch);
    expect(makeAnswer("p", 410), PartStatus::SnapshotUnavailable);
    expect(makeAnswer("p", 503), PartStatus::TargetError);
    expect(makeAnswer("p", 504), PartStatus::DeadlineExceeded);
    auto broken = makeAnswer("p", 0);
    broken.transport = TargetAnswer::Transport::Broken;
    expect(std::move(broken), PartStatus::ConnectionLost);
}

// Guards against a node that keeps dialling a target, or never starts to, after a change of the roster or of the
// target's failure domain.
TEST(Dispatcher, FollowsChangesOfRosterAndFailureDomain)
{
    auto const isSent = [&](AttemptId const& attempt) {
        configuration.value.version += 1;
        dispatcher.setConfiguration(configuration.pointer(), now);
        // A new dispatcher waits for the first status.
        dispatcher.onTargetStatus("a", TargetState::Serving, {}, now);
        auto const before = calls.size();
        submit(attempt);
        bool const sent = calls.size() > before;
        answer(attempt);
        return sent;
    };
    configuration.value.fleet.dispatchersPerTarget = 1;
    CHECK(isSent("p1"));
    configuration.value.fleet.nodes["n2"] = { "n2", "d2" };
    CHECK(isSent("p2"));
    configuration.target("a").failureDomain = "d2";
    CHECK(!isSent("p3"));
    configuration.value.fleet.dispatchersPerTarget = 2;
    CHECK(isSent("p4"));
    configuration.value.fleet.nodes["n3"] = { "n3", "d2" };
    CHECK(!isSent("p5"));
    configuration.value.fleet.nodes.erase("n3");
    CHECK(isSent("p6"));
}

// Guards against a "not started" answer of another attempt, which would let a command that did start run again at
// another replica.
TEST(Dispatcher, CommandIsNotRunOnlyWhenTheAnswerNamesItsAttempt)
{
    auto const statusOf = [&](std::string const& attempt, Json::Value const& echo, int status) {
        // The back-off after the previous refusal has passed.
        now += 1000_ms;
        submit(attempt, 1, 50_ms, Idempotence::NonIdempotent);
        auto refusal = makeAnswer(attempt, status);
        refusal.reportedNotStarted = true;
        if (!echo.isNull())
            refusal.body["attempt"] = echo;
        dispatcher.onTargetAnswer(std::move(refusal), now);
        return results.back().status;
    };
    for (int status : { 503, 410 }) {
        auto const name = [status](char const* text) { return text + std::to_string(status); };
        CHECK(certainlyNotRun(statusOf(name("named"), name("named"), status)));
        CHECK(statusOf(name("silent"), {}, status) == PartStatus::TargetError);
        CHECK(statusOf(name("crossed"), "another", status) == PartStatus::Mismatch);
    }
}

// Guards against parts that a node sends to a draining target just after the node has started.
TEST(Dispatcher, NewDispatcherWaitsForTheFirstStatus)
{
    Dispatcher fresh { hooks(), "n1" };
    fresh.setConfiguration(configuration.pointer(), now);
    fresh.advance(now);
    CHECK(std::ranges::find(polls, "a") != polls.end());
    fresh.submit("n1", makePart("p1", 1, 2000_ms), now);
    LONGS_EQUAL(0, calls.size());
    fresh.onTargetStatus("a", TargetState::Draining, {}, now);
    LONGS_EQUAL(0, calls.size());
    CHECK(results.at(0).status == PartStatus::Shed);
}

// Guards against parts that wait until their deadline for a target whose status endpoint does not answer.
TEST(Dispatcher, TheWaitForTheFirstStatusIsBounded)
{
    Dispatcher fresh { hooks(), "n1" };
    fresh.setConfiguration(configuration.pointer(), now);
    fresh.submit("n1", makePart("p1", 1, 2000_ms), now);
    CHECK(fresh.nextWakeup() <= now + 500_ms);
    fresh.advance(now + 500_ms);
    LONGS_EQUAL(1, calls.size());
}
