#include "Engine/CommandRouter.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

// clang-format off
TEST_GROUP(CommandRouter)
{
    std::vector<std::string> forwarded;
    std::vector<CallerAnswer> answers;
    std::string owner = "entry-2";
    Configuration configuration;
    CommandRouter router { hooks(), "entry-1" };

    CommandRouter::Hooks hooks()
    {
        CommandRouter::Hooks result;
        result.forward = [this](std::string const& peer, std::string const&, CommandRequest const&) { this->forwarded.push_back(peer); };
        result.submitLocally = [this](std::string const&, CommandRequest&&) { this->forwarded.emplace_back("local"); };
        result.answer = [this](CallerAnswer&& answer) { this->answers.push_back(std::move(answer)); };
        result.likelyOwner = [this](std::string_view) { return this->owner; };
        result.isUsable = [](std::string const&) { return true; };
        return result;
    }

    void setup() override
    {
        this->configuration.classes = { "urgent" };
        this->configuration.rules["rule"] = Rule {};
        this->configuration.services["service"] = { "service", "rule", {}, {} };
    }

    void start(Milliseconds timeout)
    {
        CallerRequest request;
        request.handle = 7;
        request.service = "service";
        request.requestKey = "key";
        request.timeout = timeout;
        this->router.start(std::move(request), this->configuration, 0_ms);
    }

    CommandResult createResult(char const* type) const
    {
        CommandResult result;
        result.requestKey = "key";
        result.status = 503;
        result.problem.type = type;
        return result;
    }
};
// clang-format on

// Guards against the outcome "not run" for a command that another node may have run.
TEST(CommandRouter, ReportsUnknownWhenNoOwnerAnswersInTime)
{
    this->owner.clear();
    this->start(50_ms);
    this->router.advance(50_ms);
    CHECK_EQUAL(1, this->answers.size());
    CHECK(this->answers[0].outcome == Outcome::Unknown);
    CHECK_EQUAL(504, this->answers[0].status);
}

// Guards against a command that keeps waiting for a node which no longer owns the key range.
TEST(CommandRouter, ForwardsAgainWhenTheNodeIsNotTheOwner)
{
    this->start(100_ms);
    this->owner = "entry-3";
    this->router.onCommandResult("1", this->createResult("not-owner"), 10_ms);
    this->router.advance(40_ms);
    CHECK_EQUAL(2, this->forwarded.size());
    STRCMP_EQUAL("entry-3", this->forwarded[1].c_str());
}

// Guards against a command that is lost with the connection to its owner.
TEST(CommandRouter, ForwardsAgainAfterTheConnectionIsLost)
{
    this->start(100_ms);
    this->router.onPeerLost("entry-2", 5_ms);
    this->router.advance(40_ms);
    CHECK_EQUAL(2, this->forwarded.size());
}

// Guards against a second answer to the caller, and against a result for another key.
TEST(CommandRouter, AnswersOnceAndOnlyForItsOwnKey)
{
    this->start(100_ms);
    auto other = this->createResult("refused");
    other.requestKey = "another";
    this->router.onCommandResult("1", std::move(other), 10_ms);
    CHECK_EQUAL(0, this->answers.size());
    this->router.onCommandResult("1", this->createResult("refused"), 10_ms);
    this->router.onCommandResult("1", this->createResult("refused"), 11_ms);
    CHECK_EQUAL(1, this->answers.size());
    CHECK_EQUAL(7, this->answers[0].handle);
}
