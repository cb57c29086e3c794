#include "Base/Json.h"
#include "Bench/PlatformStandIn.h"
#include "Operator/OperatorCommands.h"
#include "Operator/PlatformStore.h"

#include <sstream>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(PlatformStore)
{
    PlatformStandIn platform { PlatformStandIn::Options {} };
    PlatformStore store { platform.endpoint(), 1000_ms };
    std::ostringstream output;
    std::ostringstream errors;
    /// Called in place of the delay before the result of a write is read back.
    ConfigurationWriter::Pause pause { [](Milliseconds) {} };

    ExitCode apply(unsigned watchers)
    {
        OperatorCommands::Hooks hooks;
        hooks.createChangeId = [watchers] { return "change-" + std::to_string(watchers); };
        hooks.wallClock = [] { return 1'700'000'000'000_ms; };
        hooks.pause = this->pause;
        OperatorCommands commands(&this->store, std::move(hooks), this->output, this->errors);
        Json::Value document;
        document["classes"].append("urgent");
        document["fleet"]["watchers"] = watchers;
        return commands.run([&] {
            return commands.apply({ { "10.json", writeJson(document) } }, "anna", std::nullopt);
        });
    }
};

TEST(PlatformStore, AppliesAndReadsBackOverHttp)
{
    CHECK(this->apply(2) == ExitCode::Ok);
    CHECK(this->apply(3) == ExitCode::Ok);
    auto const stored = readStoredRoot(this->store);
    UNSIGNED_LONGS_EQUAL(2, stored.root.version);
    UNSIGNED_LONGS_EQUAL(3, readStoredDocument(this->store, stored.root)["fleet"]["watchers"].asUInt());
    UNSIGNED_LONGS_EQUAL(2, readHistory(this->store).size());
}

// Guards against repeating or misreporting a write whose response was lost.
TEST(PlatformStore, LostResponseIsReadBackOverHttp)
{
    CHECK(this->apply(2) == ExitCode::Ok);
    this->platform.control(parseJson(R"({"loseWriteAnswers":1})"));
    CHECK(this->apply(3) == ExitCode::Ok);
    STRCMP_CONTAINS("accepted: version 2", this->output.str().c_str());
    STRCMP_CONTAINS("the answer was lost 1 times", this->output.str().c_str());
    UNSIGNED_LONGS_EQUAL(2, readHistory(this->store).size());
}

// Guards against reporting success or failure when an outage begins right after the response was lost.
TEST(PlatformStore, OutageAfterTheWriteLeavesTheResultUnknown)
{
    this->platform.control(parseJson(R"({"loseWriteAnswers":1})"));
    this->pause = [this](Milliseconds) { this->platform.control(parseJson(R"({"outage":true})")); };
    CHECK(this->apply(2) == ExitCode::ResultUnknown);
    this->platform.control(parseJson(R"({"outage":false})"));
    UNSIGNED_LONGS_EQUAL(1, readHistory(this->store).size());
}

TEST(PlatformStore, OutageBeforeTheWriteChangesNothing)
{
    this->platform.control(parseJson(R"({"outage":true})"));
    CHECK(this->apply(2) == ExitCode::StoreUnreachable);
    this->platform.control(parseJson(R"({"outage":false})"));
    UNSIGNED_LONGS_EQUAL(0, readStoredRoot(this->store).revision);
}
