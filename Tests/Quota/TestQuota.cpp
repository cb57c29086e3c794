#include "Base/Error.h"
#include "Quota/QuotaCodec.h"
#include "Tests/Quota/QuotaWorld.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(Quota)
{
    Milliseconds now { 0 };
    std::vector<std::pair<std::string, QuotaRequest>> asked;
    std::vector<QuotaClient::AskDone> answers;
    std::vector<std::function<void()>> timers;
    std::vector<QuotaResult> results;

    QuotaClient::Hooks clientHooks()
    {
        return { [this] { return this->now; },
            [this](Milliseconds, std::function<void()> task) {
                this->timers.push_back(std::move(task));
                return [] {};
            },
            [this](std::string const& relay, QuotaRequest const& request, QuotaClient::AskDone done) {
                this->asked.emplace_back(relay, request);
                this->answers.push_back(std::move(done));
            },
            {} };
    }
    QuotaIssuer::Hooks issuerHooks()
    {
        return { [this] { return this->now; },
            [this](Milliseconds, std::function<void()> task) { this->timers.push_back(std::move(task)); },
            [this](std::string const& relay, QuotaRequest const& request, QuotaIssuer::AskDone done) {
                this->asked.emplace_back(relay, request);
                this->answers.push_back(std::move(done));
            } };
    }
    uint64_t wait(QuotaClient & client)
    {
        auto acquired
            = client.acquire("l", 50_ms, [this](QuotaResult&& result) { this->results.push_back(std::move(result)); });
        if (acquired.result)
            this->results.push_back(std::move(*acquired.result));
        return acquired.waiter;
    }
    static QuotaAnswer grant(uint32_t tokens, uint64_t version = 1)
    {
        return { version, { { "l", tokens, 500_ms, 1, 10, tokens ? 0_ms : 100_ms } } };
    }
    static uint32_t take(QuotaIssuer & issuer, uint32_t wanted, bool fromRelay = true)
    {
        uint32_t taken = 0;
        issuer.handle({ 1, "n", fromRelay, { { "l", wanted, 0, 1 } } }, [&taken](QuotaAnswer&& answer) {
            for (auto const& entry : answer.grants)
                taken += entry.tokens;
        });
        return taken;
    }
    static std::vector<NamedQuota> rules(double rate, double burst) { return { { "l", { rate, burst } } }; }
};

// Guards against a life and capacity of which the sum in a window exceeds the bound, also where the life is capped.
TEST(Quota, LifeAndCapacityAddUpToTheBound)
{
    QuotaBounds const bounds;
    for (double const rate : { 0.5, 3.0, 40.0, 5000.0 }) {
        QuotaRule const rule { rate, 7 };
        auto const life = rule.lifetime(bounds);
        CHECK(life <= 2500_ms);
        auto const issued = rate * (bounds.window + life).value / 1000 + rule.capacity(bounds);
        DOUBLES_EQUAL(rule.bound(bounds), issued, 1e-6);
        CHECK(rule.capacity(bounds) >= 7 * 1.1 + 10 - 1e-6);
    }
    DOUBLES_EQUAL(500 + 250, (QuotaRule { 40, 0 }.lifetime(bounds).value), 1e-9);
}

// Guards against a lowered limit of which the old tokens can still be issued.
TEST(Quota, LoweredCapacityCutsTheContentAtOnce)
{
    QuotaBucket bucket({ 10, 100 }, QuotaBucket::Start::Full, now);
    bucket.setShape({ 1, 5 }, now);
    CHECK_EQUAL(5, bucket.take(100, now));
    CHECK_EQUAL(2, bucket.take(100, now + 2000_ms));
}

// Guards against a restarted relay, or a limit that is removed and added again, that issues the same tokens twice.
TEST(Quota, BucketsBeginFullOnlyWhenNoOldTokenCanBeUsed)
{
    QuotaIssuer issuer({ "r" }, issuerHooks());
    issuer.setRules(1, rules(10, 30));
    // A third of what the capacity of 43 has beyond the burst of 30 serves each of two restarts.
    CHECK_EQUAL(4, take(issuer, 100));
    CHECK_EQUAL(0, take(issuer, 100));
    now = 1000_ms;
    CHECK_EQUAL(10, take(issuer, 100));
    issuer.setRules(2, {});
    now = 1500_ms;
    CHECK_EQUAL(5, take(issuer, 100));
    issuer.setRules(3, rules(10, 30));
    CHECK_EQUAL(0, take(issuer, 100));
    issuer.setRules(4, {});
    now = 20000_ms;
    issuer.setRules(5, {});
    CHECK_EQUAL(0, take(issuer, 100));
    issuer.setRules(6, rules(10, 30));
    CHECK_EQUAL(34, take(issuer, 100));
}

// Guards against relays that pass an ask around, and against borrowed tokens that live longer than the lender allows.
TEST(Quota, BorrowedTokensKeepTheirLifeAndAreAskedForOnce)
{
    QuotaIssuer issuer({ "r", { "s" }, 2 }, issuerHooks());
    issuer.setRules(1, rules(10, 30));
    // All that the bucket of a restarted issuer has.
    CHECK_EQUAL(2, take(issuer, 3, true));
    CHECK_EQUAL(0, take(issuer, 3, true));
    CHECK_EQUAL(0, asked.size());
    std::optional<QuotaAnswer> answer;
    issuer.handle({ 1, "n", false, { { "l", 2, 0, 4 } } }, [&](QuotaAnswer&& value) { answer = std::move(value); });
    CHECK_FALSE(answer.has_value());
    CHECK_EQUAL(1, asked.size());
    CHECK(asked.front().second.fromRelay);
    now = 5_ms;
    answers.front()(QuotaAnswer { 1, { { "l", 2, 300_ms, 4, 10, {} } } });
    CHECK(answer.has_value());
    CHECK_EQUAL(2, answer->grants.front().tokens);
    DOUBLES_EQUAL(295, answer->grants.front().life.value, 1e-9);
}

// Guards against an answer that is kept longer than nodes wait.
TEST(Quota, AnswerDoesNotWaitForASilentRelay)
{
    QuotaIssuer issuer({ "r", { "s" }, 2 }, issuerHooks());
    issuer.setRules(1, rules(10, 30));
    // Takes the tokens with which the bucket of a restarted issuer begins.
    issuer.handle({ 1, "n", false, { { "l", 0, 10, 4 } } }, [](QuotaAnswer&&) {});
    std::optional<QuotaAnswer> answer;
    issuer.handle({ 1, "n", false, { { "l", 1, 0, 4 } } }, [&](QuotaAnswer&& value) { answer = std::move(value); });
    CHECK_FALSE(answer.has_value());
    now = 10_ms;
    timers.front()();
    CHECK(answer.has_value());
    CHECK_EQUAL(0, answer->grants.front().tokens);
    DOUBLES_EQUAL(100, answer->grants.front().retryAfter.value, 1e-9);
}

// Guards against more than one message at a time to a relay, and against a token that is used after its life.
TEST(Quota, RequestsThatWaitShareOneMessage)
{
    QuotaClient client({ "n", { "a" } }, clientHooks());
    client.setRules(1, rules(10, 0));
    wait(client);
    wait(client);
    wait(client);
    CHECK_EQUAL(1, asked.size());
    CHECK_EQUAL(1, asked.front().second.asks.front().waiting);
    now = 5_ms;
    answers[0](grant(1));
    CHECK_EQUAL(1, results.size());
    CHECK_EQUAL(2, asked.size());
    CHECK_EQUAL(2, asked.back().second.asks.front().waiting);
    CHECK(results.front().permit->isValid());
    now = 500_ms;
    CHECK_FALSE(results.front().permit->isValid());
}

// Guards against a request that waits for a dead relay, is refused while another relay lives, or asks the dead one
// again at once.
TEST(Quota, NextRelayIsAskedAndThenNone)
{
    QuotaClient client({ "n", { "a", "b" } }, clientHooks());
    wait(client);
    answers[0](std::nullopt);
    CHECK_EQUAL(2, asked.size());
    CHECK(asked[0].first != asked[1].first);
    answers[1](std::nullopt);
    CHECK(results.at(0).kind == QuotaResult::Kind::Unreachable);
    wait(client);
    CHECK(results.at(1).kind == QuotaResult::Kind::Unreachable);
    CHECK_EQUAL(2, asked.size());
    now = 1000_ms;
    wait(client);
    CHECK_EQUAL(4, asked.size());
    CHECK_EQUAL(1, asked[2].second.asks.front().waiting);
    CHECK_EQUAL(0, asked[3].second.asks.front().waiting);
}

// Guards against requests that wait for a relay that hangs, each time that it is tried again.
TEST(Quota, SilentRelayIsTriedAgainWithoutWaitingRequests)
{
    QuotaClient client({ "n", { "a", "b" } }, clientHooks());
    wait(client);
    answers[0](std::nullopt);
    answers[1](grant(1));
    now = 1000_ms;
    wait(client);
    CHECK_EQUAL(4, asked.size());
    CHECK_EQUAL(1, asked[2].second.asks.front().waiting);
    CHECK(asked[2].first == asked[1].first);
    CHECK_EQUAL(0, asked[3].second.asks.front().waiting);
    answers[3](grant(0));
    wait(client);
    answers[2](grant(1));
    CHECK_EQUAL(2, results.size());
    CHECK(asked.at(4).first == asked[0].first);
}

// Guards against a message for each request of a workspace that is far above its limit.
TEST(Quota, ExhaustedLimitIsRefusedWithoutAsking)
{
    QuotaClient client({ "n", { "a" } }, clientHooks());
    wait(client);
    answers[0](grant(0));
    wait(client);
    CHECK(results.at(1).kind == QuotaResult::Kind::Exhausted);
    DOUBLES_EQUAL(100, results.at(1).retryAfter.value, 1e-9);
    CHECK_EQUAL(1, asked.size());
    now = 50_ms;
    wait(client);
    CHECK_EQUAL(2, asked.size());
}

// Guards against tokens of a higher limit that the node knows to be lowered, and against a refusal of the whole
// workspace for it.
TEST(Quota, GrantOfAnOlderConfigurationIsDiscarded)
{
    QuotaClient client({ "n", { "a", "b" } }, clientHooks());
    client.setRules(1, rules(10, 0));
    client.setRules(2, rules(10, 0));
    client.setRules(3, rules(5, 0));
    wait(client);
    answers[0](grant(5, 2));
    CHECK(results.empty());
    answers[1](grant(5, 3));
    CHECK(results.at(0).kind == QuotaResult::Kind::Granted);
}

// Guards against a token that is lost with a request that did not run, or used by two requests.
TEST(Quota, ReturnedTokenServesOneOtherRequest)
{
    QuotaClient client({ "n", { "a" } }, clientHooks());
    wait(client);
    answers[0](grant(1));
    results.at(0).permit->giveBack();
    results.at(0).permit->giveBack();
    CHECK_FALSE(results.at(0).permit->isValid());
    wait(client);
    CHECK(results.at(1).kind == QuotaResult::Kind::Granted);
    auto const waiter = wait(client);
    CHECK(waiter != 0);
    client.cancel("l", waiter);
    answers[1](grant(1));
    CHECK_EQUAL(2, results.size());
}

// Guards against state that idle workspaces keep, and against timers for them.
TEST(Quota, IdleLimitsKeepNoState)
{
    QuotaClient client({ "n", { "a" } }, clientHooks());
    wait(client);
    answers[0](grant(3));
    now = 20000_ms;
    client.acquire("other", 50_ms, [](QuotaResult&&) {});
    CHECK_EQUAL(1, client.activeLimits());
    CHECK_EQUAL(2, timers.size());
}

// Guards against a node without relays that uses more than its share.
TEST(Quota, NodeWithoutRelaysIssuesItsShare)
{
    QuotaIssuer::Options options { "n", {}, 4 };
    options.start = QuotaBucket::Start::Full;
    options.longestLife = 500_ms;
    QuotaIssuer issuer(options, issuerHooks());
    issuer.setRules(1, rules(10, 20));
    auto hooks = clientHooks();
    hooks.ask = [&](auto const&, QuotaRequest const& request, QuotaClient::AskDone done) {
        issuer.handle(request, [&done](QuotaAnswer&& answer) { done(std::move(answer)); });
    };
    QuotaClient client({ "n" }, hooks);
    for (int index = 0; index < 50; ++index)
        wait(client);
    auto const granted = std::count_if(results.begin(), results.end(),
        [](QuotaResult const& result) { return result.kind == QuotaResult::Kind::Granted; });
    // Two thirds of what the capacity (20 x 1.1 + 20) has beyond the burst are kept for restarts.
    constexpr double capacity = 20 + (20 * 1.1 + 20 - 20) / 3;
    CHECK_EQUAL(static_cast<int64_t>(capacity / 4), granted);
}

// Guards against messages that do not keep their values, and against more asks than a relay reads.
TEST(Quota, MessagesKeepTheirValues)
{
    QuotaRequest request { 7, "n", true, { { "l", 1, 2, 3.5 } } };
    auto const read = readQuotaRequest(writeQuotaRequest(request));
    CHECK(read.configuration == 7 && read.node == "n" && read.fromRelay && read.asks.size() == 1);
    CHECK(read.asks[0].limit == "l" && read.asks[0].waiting == 1 && read.asks[0].ahead == 2);
    CHECK(read.asks[0].demand == 3.5);
    auto const answer = readQuotaAnswer(writeQuotaAnswer(grant(0, 9))).grants.at(0);
    CHECK(answer.limit == "l" && answer.life == 500_ms && answer.rate == 10 && answer.retryAfter == 100_ms);
    request.asks.resize(maximumQuotaAsks + 1);
    CHECK_THROWS(Error, readQuotaRequest(writeQuotaRequest(request)));
}

// Guards against a successor that gives out again what its predecessor may have issued.
TEST(Quota, SuccessorBeginsWithoutTokens)
{
    QuotaIssuer issuer({ "a", {}, 3 }, this->issuerHooks());
    issuer.setShare(0);
    issuer.setRules(1, rules(10, 5));
    issuer.succeed();
    issuer.setShare(0.5);
    auto taken = take(issuer, 100);
    CHECK_EQUAL(0, taken);
    issuer.setRules(2, std::vector<NamedQuota> { { "l", { 10, 5 } }, { "new", { 10, 5 } } });
    this->now = 600_ms;
    taken = take(issuer, 100);
    CHECK_EQUAL(3, taken);
    issuer.handle({ 1, "n", true, { { "new", 100, 0, 1 } } },
        [&taken](QuotaAnswer&& answer) { taken = answer.grants.front().tokens; });
    CHECK_EQUAL(3, taken);
    // A smaller share cuts the content at once.
    this->now = 60000_ms;
    issuer.setShare(0);
    taken = take(issuer, 100);
    CHECK_EQUAL(0, taken);
}

// Guards against requests that wait for a relay that was replaced, and against its late answer.
TEST(Quota, WaitingRequestsAskTheNewRelays)
{
    QuotaClient client({ "n", { "old" } }, this->clientHooks());
    client.setRules(1, rules(10, 5));
    this->wait(client);
    CHECK_EQUAL(1, this->asked.size());
    client.setRelays({ "new-1", "new-2" });
    CHECK_EQUAL(2, this->asked.size());
    CHECK(this->asked[1].first.starts_with("new-"));
    this->answers[0](grant(1));
    CHECK_EQUAL(0, this->results.size());
    this->answers[1](grant(1));
    CHECK_EQUAL(1, this->results.size());
    CHECK(this->results[0].kind == QuotaResult::Kind::Granted);
}
