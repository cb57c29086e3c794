#include "Gateway/AttemptOutcome.h"
#include "Gateway/DecisionLog.h"
#include "Gateway/ExtraAttemptBudget.h"
#include "Gateway/RecordMerger.h"
#include "Gateway/ReportedSlowdown.h"
#include "Gateway/RouteLatencies.h"
#include "Gateway/RouteTable.h"
#include "Gateway/TargetDirectory.h"
#include "Gateway/TargetSelector.h"

#include <array>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static Route routeOf(std::string const& name, std::string const& host, std::string const& prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.objective = 100_ms;
    return route;
}

TEST_GROUP(RouteTable)
{
    RouteTable table { { 3,
        { routeOf("short", "a.example", "/x/"), routeOf("long", "A.example", "/x/y/"),
            routeOf("other", "b.example", "/x/") },
        { { "s", 26 } }, {} } };
};

// Guards against a request that runs at the service of a shorter prefix.
TEST(RouteTable, LongestPrefixOfTheHostWins)
{
    STRCMP_EQUAL("long", table.find("a.example", "/x/y/z")->name.c_str());
    STRCMP_EQUAL("short", table.find("a.example", "/x/yy")->name.c_str());
    STRCMP_EQUAL("other", table.find("B.EXAMPLE:8080", "/x/y/z")->name.c_str());
    CHECK(!table.find("a.example", "/x"));
    CHECK(!table.find("c.example", "/x/"));
}

// Guards against connections to a service that the configuration does not name.
TEST(RouteTable, UnknownServiceGetsOneConnection)
{
    LONGS_EQUAL(26, table.connectionLimit("s"));
    LONGS_EQUAL(1, table.connectionLimit("t"));
}

TEST_GROUP(TrafficSplitter) {};

// Guards against a share that is off its weight in a short run of requests.
TEST(TrafficSplitter, EachRunOfRequestsKeepsTheWeights)
{
    auto route = routeOf("split", "a.example", "/");
    route.services = { { "a", 0.7 }, { "b", 0.3 } };
    TrafficSplitter splitter;
    int chosen = 0;
    for (int count = 0; count < 20; ++count)
        chosen += splitter.next(route).service == "a" ? 1 : 0;
    LONGS_EQUAL(14, chosen);
}

TEST_GROUP(ExtraAttemptBudget) {};

// Guards against extra attempts beyond the share of the node's own requests.
TEST(ExtraAttemptBudget, SpendsAShareOfTheRequestsAndLittleSavings)
{
    using Use = ExtraAttemptBudget::Use;
    ExtraAttemptBudget budget({ 0.2, 2, 10000_ms });
    auto const takeAll = [&budget](Use use, Milliseconds now) {
        int taken = 0;
        while (budget.tryTake("s", use, now))
            ++taken;
        return taken;
    };
    for (int count = 0; count < 100; ++count)
        budget.onRequest("s", 1000_ms);
    LONGS_EQUAL(16, takeAll(Use::Hedge, 1000_ms));
    LONGS_EQUAL(6, takeAll(Use::Retry, 9000_ms));
    // Nothing is left of the allowance for another window's burst.
    LONGS_EQUAL(0, takeAll(Use::Retry, 10400_ms));
}

// Guards against parts that are lost although the shard's small budget has room for them, and against hedges that leave
// nothing of a large one to retries. The loads: 2 and 30 requests a second and shard at one node.
TEST(ExtraAttemptBudget, HedgesOfPartsMayUseTheWholeOfASmallBudget)
{
    using Use = ExtraAttemptBudget::Use;
    auto const hedges = [](double allowance) {
        ExtraAttemptBudget budget({ 0, allowance, 10000_ms });
        int taken = 0;
        while (budget.tryTake("s", Use::PartHedge, 1000_ms))
            ++taken;
        return taken;
    };
    LONGS_EQUAL(6, hedges(6));
    LONGS_EQUAL(30, hedges(40));
}

// Guards against the loss of the fraction with which the budget of each of many nodes ends, and against nodes that
// together spend more than the sum of their budgets. The load: 59 nodes with 2.2 requests a second and shard.
TEST(ExtraAttemptBudget, ManySmallBudgetsAddUpToTheirSum)
{
    using Use = ExtraAttemptBudget::Use;
    int taken = 0;
    int draws = 0;
    for (int node = 0; node < 59; ++node) {
        ExtraAttemptBudget budget({ 0.19, 1.9, 10000_ms }, [&draws] { return static_cast<double>(draws++ % 59) / 59; });
        for (int count = 0; count < 22; ++count)
            budget.onRequest("s", Milliseconds { 1000.0 + 400 * count });
        while (budget.tryTake("s", Use::PartHedge, 10000_ms))
            ++taken;
    }
    double const sum = 59 * (0.19 * 22 + 1.9);
    CHECK(taken <= sum + 1);
    CHECK(taken >= sum - 1);
}

// Guards against a burst of retries that the requests of an earlier window pay for, and against spending that is
// forgotten while it still lies in the window.
TEST(ExtraAttemptBudget, NoWindowHoldsMoreThanItsShare)
{
    ExtraAttemptBudget budget({ 0.2, 0, 10000_ms });
    std::vector<std::pair<int, bool>> history;
    for (int at = 0; at < 60000; at += 10) {
        Milliseconds const now { static_cast<double>(at) };
        // Requests come in bursts; extra attempts are asked for all the time.
        if (at / 3000 % 3 == 0) {
            budget.onRequest("s", now);
            history.emplace_back(at, false);
        }
        if (budget.tryTake("s", ExtraAttemptBudget::Use::Retry, now))
            history.emplace_back(at, true);
    }
    for (int end = 10000; end < 60000; end += 250) {
        double requests = 0;
        double extras = 0;
        for (auto const& [at, extra] : history) {
            if (at > end - 10000 && at <= end)
                (extra ? extras : requests) += 1;
        }
        CHECK(extras <= 0.2 * requests + 1);
    }
}

TEST_GROUP(RecordMerger) {};

// Guards against equal records that are dropped.
TEST(RecordMerger, EqualRecordsAllCount)
{
    std::string const first(16, 'a');
    std::string const second = std::string(16, '\xff') + std::string(16, 'a');
    std::array<std::string_view, 2> const parts { first, second };
    STRCMP_EQUAL((std::string(16, '\xff') + first + first).c_str(), mergeRecords(parts, 5).c_str());
    LONGS_EQUAL(0, mergeRecords({}, 5).size());
}

TEST_GROUP(AttemptOutcome)
{
    GatewayHeaders names;
    AttemptReply reply;

    void setup() override
    {
        reply.transport = AttemptReply::Transport::Answered;
        reply.head.set(names.signature, "s");
    }
};

// Guards against an answer in a coding that the caller did not ask for, and against unsigned answers.
TEST(AttemptOutcome, OnlyASignedPlainAnswerIsASuccess)
{
    CHECK(outcomeOf(reply, names) == AttemptOutcome::Success);
    reply.head.set("Content-Encoding", "gzip");
    CHECK(outcomeOf(reply, names) == AttemptOutcome::Unknown);
    reply.head.erase("Content-Encoding");
    reply.head.erase(names.signature);
    CHECK(outcomeOf(reply, names) == AttemptOutcome::Unknown);
}

// Guards against "not run" from a status alone.
TEST(AttemptOutcome, UnavailableWithoutTheMarkMayHaveRun)
{
    reply.head.setStatus(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    CHECK(outcomeOf(reply, names) == AttemptOutcome::TargetFailed);
    reply.head.set(names.notRun, "1");
    CHECK(outcomeOf(reply, names) == AttemptOutcome::NotRun);
}

// Guards against an answer to an earlier request of the connection.
TEST(AttemptOutcome, OtherRequestIdIsNoAnswer)
{
    CHECK(answersRequest(reply.head, "r1", true, names));
    CHECK(!answersRequest(reply.head, "r1", false, names));
    reply.head.set(names.requestId, "r0");
    CHECK(!answersRequest(reply.head, "r1", true, names));
    reply.head.set(names.requestId, "r1");
    CHECK(answersRequest(reply.head, "r1", false, names));
    reply.head.erase(names.requestId);
    reply.head.set(names.notRun, "1");
    CHECK(answersRequest(reply.head, "r1", false, names));
}

// Guards against a load header that cannot be read, and against a slowdown that is ignored.
TEST(AttemptOutcome, LoadIsThreeNumbersAndMaybeASlowdown)
{
    CHECK(!readLoad(reply.head, names));
    reply.head.set(names.load, "3,x,8");
    CHECK(!readLoad(reply.head, names));
    reply.head.set(names.load, "3, 1,8");
    CHECK(!readLoad(reply.head, names)->slowdown);
    reply.head.set(names.load, "3, 1,8,x");
    CHECK(!readLoad(reply.head, names));
    reply.head.set(names.load, "3, 1,8,400,7");
    LONGS_EQUAL(1, readLoad(reply.head, names)->waiting);
    DOUBLES_EQUAL(4, *readLoad(reply.head, names)->slowdown, 1e-9);
}

// Guards against fields of one connection that reach the next one, and against a caller that removes Host.
TEST(AttemptOutcome, ConnectionFieldsAreRemoved)
{
    Poco::Net::HTTPRequest head("GET", "/");
    head.set("Host", "a");
    head.set("Connection", "close, X-Hop, Host");
    head.set("X-Hop", "1");
    head.set("X-Kept", "1");
    head.set("Transfer-Encoding", "chunked");
    removeConnectionFields(head);
    CHECK(head.has("Host") && head.has("X-Kept"));
    CHECK(!head.has("X-Hop") && !head.has("Connection") && !head.has("Transfer-Encoding"));
}

TEST_GROUP(DecisionLog) {};

// Guards against a log that takes the processor when everything fails, and against silent loss of lines.
TEST(DecisionLog, BoundsLinesAndCountsTheDropped)
{
    Milliseconds time { 0 };
    std::vector<std::string> lines;
    DecisionLog log([&lines](std::string const& line) { lines.push_back(line); }, [&time] { return time; });
    for (int count = 0; count < 1000; ++count)
        log.line("hedge", { { "request", "r" } });
    CHECK(lines.size() < 300);
    auto const before = lines.size();
    log.line("stop", {}, DecisionLog::Weight::Always);
    LONGS_EQUAL(before + 1, lines.size());
    CHECK(lines.back().find("dropped_lines=") != std::string::npos);
}

// Guards against a value that forges another field or line.
TEST(DecisionLog, ValuesAreQuoted)
{
    std::vector<std::string> lines;
    DecisionLog log([&lines](std::string const& line) { lines.push_back(line); }, [] { return Milliseconds {}; });
    log.line("answered", { { "request", "r\n\" x=1" } });
    STRCMP_EQUAL("event=answered request=\"r?? x=1\"", lines[0].c_str());
}

TEST_GROUP(TargetSelection)
{
    TargetDirectory directory { "wien-a", { [](std::string_view, TargetRegistration const&) {} } };
    TargetSelector selector { [] { return 0.0; } };
    Milliseconds now { 1000 };
    uint32_t connections { 10 };
    std::function<bool(std::string const&)> hasIdleConnection;

    static TargetRegistration registration(std::string const& id, std::string const& domain)
    {
        TargetRegistration result;
        result.id = id;
        result.service = "s";
        result.address = id;
        result.failureDomain = domain;
        result.slots = 2;
        return result;
    }

    void setup() override
    {
        directory.put(registration("near", "wien-a"), now);
        directory.put(registration("far", "graz-a"), now);
    }

    std::string chosen()
    {
        auto const target = selector.choose(directory.targets("s"), {}, { 10_ms, connections, hasIdleConnection }, now);
        return target ? target->registration().id : "none";
    }
    GatewayTarget& near() { return *directory.targets("s")[0]; }
};

// Guards against traffic between failure domains that is paid for without need.
TEST(TargetSelection, PrefersTheOwnFailureDomain) { STRCMP_EQUAL("near", chosen().c_str()); }

// Guards against requests that pile up at a target that stands still.
TEST(TargetSelection, AvoidsATargetWithAnOverdueRequest)
{
    near().onSent(now);
    now += 60_ms;
    STRCMP_EQUAL("far", chosen().c_str());
    near().onEnded(GatewayTarget::Result::Answered, 1000_ms, 10_ms, now);
    now += 10000_ms;
    STRCMP_EQUAL("near", chosen().c_str());
}

// Guards against requests that wait for the node's only connection although another target is free.
TEST(TargetSelection, BusyConnectionsCountAsAQueue)
{
    connections = 1;
    near().onSent(now);
    STRCMP_EQUAL("far", chosen().c_str());
    connections = 2;
    STRCMP_EQUAL("near", chosen().c_str());
}

// Guards against a node with few requests that connects to all replicas in turn, so that many nodes exceed the
// connection limit of each, and against one that stays on a slow replica for the sake of a connection.
TEST(TargetSelection, PrefersATargetWithAKeptConnection)
{
    directory.put(registration("beside", "wien-a"), now);
    for (std::string const kept : { "near", "beside" }) {
        hasIdleConnection = [&kept](std::string const& address) { return address == kept; };
        STRCMP_EQUAL(kept.c_str(), chosen().c_str());
    }
    hasIdleConnection = [](std::string const& address) { return address == "near"; };
    near().onLoad({ 1, 0, 2, 3.0 }, now);
    STRCMP_EQUAL("beside", chosen().c_str());
}

// Guards against a slow target that keeps its share of the requests, and against one that is shunned for ever.
TEST(TargetSelection, AvoidsASlowTargetForAWhile)
{
    for (int count = 0; count < 5; ++count) {
        near().onSent(now);
        near().onEnded(GatewayTarget::Result::Answered, now, 10_ms, now + 80_ms);
        now += 80_ms;
    }
    STRCMP_EQUAL("far", chosen().c_str());
    now += 15000_ms;
    STRCMP_EQUAL("near", chosen().c_str());
}

// Guards against shards without a usable target after a restart of all nodes: targets are full of the connections of
// the processes that ended, and have room again one by one.
TEST(TargetSelection, FullTargetIsTriedAgainSoon)
{
    for (int count = 0; count < 6; ++count) {
        near().onSent(now);
        near().onEnded(GatewayTarget::Result::Full, now, 10_ms, now);
        STRCMP_EQUAL("far", chosen().c_str());
        now += 260_ms;
        STRCMP_EQUAL("near", chosen().c_str());
    }
    DOUBLES_EQUAL(0, near().failureShare(now), 1e-9);
}

// Guards against a target that fails part of its requests quickly and so looks fast.
TEST(TargetSelection, AvoidsAFailingTarget)
{
    near().onSent(now);
    near().onEnded(GatewayTarget::Result::Failed, now, 10_ms, now);
    STRCMP_EQUAL("far", chosen().c_str());
}

// Guards against a target that says that its machine is slow and keeps its share until requests have suffered.
TEST(TargetSelection, AvoidsATargetThatReportsASlowMachine)
{
    near().onLoad({ 1, 0, 2, 4.0 }, now);
    STRCMP_EQUAL("far", chosen().c_str());
    now += 1500_ms;
    STRCMP_EQUAL("near", chosen().c_str());
}

// Guards against new connections to a dead target with every request.
TEST(TargetSelection, UnreachableTargetIsBlockedForAGrowingTime)
{
    near().onEnded(GatewayTarget::Result::Unreachable, now, 10_ms, now);
    CHECK(near().isBlocked(now + 200_ms));
    CHECK(!near().isBlocked(now + 300_ms));
    near().onEnded(GatewayTarget::Result::Unreachable, now, 10_ms, now);
    CHECK(near().isBlocked(now + 400_ms));
    DOUBLES_EQUAL(1500, TargetSelector::nextAvailable(directory.targets("s").first(1), now).value, 1);
}

// Guards against work at a target that is leaving.
TEST(TargetSelection, DrainingTargetIsTheLastResortForAShortTime)
{
    auto leaving = registration("near", "wien-a");
    leaving.state = TargetRegistration::State::Draining;
    directory.put(leaving, now);
    STRCMP_EQUAL("far", chosen().c_str());
    directory.remove("far", TargetDirectory::Removal::AtOnce, now);
    STRCMP_EQUAL("near", chosen().c_str());
    now += 2000_ms;
    STRCMP_EQUAL("none", chosen().c_str());
}

// Guards against a late write of an earlier incarnation that brings a gone target back.
TEST(TargetSelection, OutdatedRegistrationIsIgnored)
{
    auto next = registration("near", "wien-a");
    next.incarnation = 200;
    next.sequence = 1;
    directory.put(next, now);
    auto old = registration("near", "wien-a");
    old.incarnation = 100;
    old.sequence = 50;
    old.state = TargetRegistration::State::Draining;
    directory.put(old, now);
    STRCMP_EQUAL("near", chosen().c_str());
}

// Guards against beliefs about an earlier process that are held against its successor.
TEST(TargetSelection, NewIncarnationStartsWithoutObservations)
{
    near().onReplaced();
    STRCMP_EQUAL("far", chosen().c_str());
    auto next = registration("near", "wien-a");
    next.incarnation = 200;
    directory.put(next, now);
    STRCMP_EQUAL("near", chosen().c_str());
}

// Guards against the loss of targets whose entries lapsed while the registry was away.
TEST(TargetSelection, DeferredRemovalIsUndoneByANewRegistration)
{
    directory.remove("near", TargetDirectory::Removal::Deferred, now + 2000_ms);
    directory.remove("far", TargetDirectory::Removal::Deferred, now + 2000_ms);
    DOUBLES_EQUAL(now.value + 2000, directory.expire(now)->value, 0.1);
    STRCMP_EQUAL("near", chosen().c_str());
    directory.put(registration("near", "wien-a"), now);
    CHECK(!directory.expire(now + 2000_ms));
    LONGS_EQUAL(1, directory.size());
}

TEST_GROUP(ReportedSlowdown) {};

// Guards against a machine that is tried again and again while it stays slow, and against one that is shunned for
// seconds because of a short disturbance.
TEST(ReportedSlowdown, UnusualValueIsBelievedAboutAsLongAsItWasSeen)
{
    ReportedSlowdown brief;
    CHECK(!brief.expected(0_ms));
    brief.add(0.8, 0_ms);
    brief.add(4, 1000_ms);
    DOUBLES_EQUAL(4, *brief.expected(1000_ms), 0.01);
    CHECK(*brief.expected(2000_ms) < 1.2);
    auto lasting = brief;
    lasting.add(4, 3000_ms);
    CHECK(*lasting.expected(4000_ms) > 2.5);
    CHECK(*lasting.expected(12000_ms) < 1);
}

// Guards against news that arrive late and replace newer ones.
TEST(ReportedSlowdown, OlderValueIsIgnored)
{
    ReportedSlowdown reported;
    reported.add(4, 1000_ms);
    reported.add(1, 900_ms);
    DOUBLES_EQUAL(4, *reported.expected(1000_ms), 0.01);
    reported.add(1, 1100_ms);
    DOUBLES_EQUAL(1, *reported.expected(1100_ms), 0.01);
}

TEST_GROUP(RouteLatencies) {};

// Guards against hedges that come too late for the objective, or for nearly every request.
TEST(RouteLatencies, HedgeDelayFollowsTheSlowQuantileWithinTheObjective)
{
    RouteLatencies book;
    auto const route = routeOf("r", "a", "/");
    DOUBLES_EQUAL(40, book.hedgeDelay(route, 0, {}).value, 0.1);
    for (int count = 0; count < 100; ++count)
        book.add(route, Milliseconds { count < 95 ? 12.0 : 500.0 }, 10_ms);
    DOUBLES_EQUAL(14.4, book.hedgeDelay(route, 0, 100_ms).value, 1);
    DOUBLES_EQUAL(12, book.typical(route, 100_ms).value, 1);
}

// Guards against the last extra attempts of a window that go to attempts that would have answered by themselves.
TEST(RouteLatencies, HedgesComeLaterWhileExtraAttemptsAreScarce)
{
    RouteLatencies book;
    auto const route = routeOf("r", "a", "/");
    for (int count = 0; count < 100; ++count)
        book.add(route, 12_ms, 10_ms);
    DOUBLES_EQUAL(book.hedgeDelay(route, 0, 100_ms).value, book.hedgeDelay(route, 0.5, 100_ms).value, 1e-9);
    CHECK(book.hedgeDelay(route, 0.8, 100_ms) > book.hedgeDelay(route, 0.5, 100_ms));
    DOUBLES_EQUAL(55, book.hedgeDelay(route, 1, 100_ms).value, 1e-9);
}
