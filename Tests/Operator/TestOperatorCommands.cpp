#include "Base/Hash.h"
#include "Base/Json.h"
#include "FakeStore.h"
#include "Operator/OperatorCommands.h"

#include <sstream>

#include "CppUTest/TestHarness.h"

using namespace Toucan;
using Fault = FakeStore::Fault;

static constexpr char const* documentText = R"({
    "classes": ["urgent"],
    "rules": { "parents": {} },
    "services": {
        "app": { "rule": "parents", "targets": {
            "a": { "address": "127.0.0.1:9001", "failureDomain": "wien-a" },
            "shared": { "address": "127.0.0.1:9003", "failureDomain": "wien-a" } } },
        "portal": { "rule": "parents", "targets": {
            "shared": { "address": "127.0.0.1:9003", "failureDomain": "wien-a" } } } }
})";

TEST_GROUP(OperatorCommands)
{
    FakeStore store;
    std::ostringstream output;
    std::ostringstream errors;
    unsigned changes { 0 };
    std::map<std::string, Json::Value> answers;

    OperatorCommands commands()
    {
        OperatorCommands::Hooks hooks;
        hooks.createChangeId = [this] { return "change-" + std::to_string(++this->changes); };
        hooks.wallClock = [] { return 1'700'000'000'000_ms; };
        hooks.pause = [](Milliseconds) {};
        hooks.callNode = [this](std::string const& address, std::string const& method) {
            auto const found = this->answers.find(address + " " + method);
            if (found == this->answers.end())
                throw Error(ErrorKind::Unavailable, "No answer from " + address, "Check it");
            return found->second;
        };
        return { &this->store, std::move(hooks), this->output, this->errors };
    }

    static std::vector<NamedText> files(std::string const& overlay = "{}")
    {
        return { { "10.json", documentText }, { "20.json", overlay } };
    }

    ExitCode apply(std::vector<NamedText> const& files, std::optional<uint64_t> expected = std::nullopt)
    {
        auto operatorCommands = this->commands();
        return operatorCommands.run([&] { return operatorCommands.apply(files, "anna", expected); });
    }

    ExitCode drain(std::string const& target, DrainChange change = DrainChange::Drain)
    {
        auto operatorCommands = this->commands();
        return operatorCommands.run([&] { return operatorCommands.drain(target, change, "anna"); });
    }

    void expectCode(ExitCode expected, ExitCode found) const
    {
        auto const text = this->output.str() + this->errors.str();
        LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(found), text.c_str());
    }

    ConfigurationRoot root() { return readStoredRoot(this->store).root; }
    Json::Value document() { return readStoredDocument(this->store, this->root()); }

    /// Commits another operator's change, so that it precedes the change under test.
    void commitCompetingChange()
    {
        auto const stored = readStoredRoot(this->store);
        auto next = stored.root;
        ++next.version;
        next.changeId = "rival-" + std::to_string(next.version);
        next.author = "bert";
        auto document = readStoredDocument(this->store, stored.root);
        document["fleet"]["watchers"] = 7;
        std::vector<StorePut> puts;
        for (auto const& [name, text] : splitDocument(document)) {
            next.parts[name] = contentHash(text);
            puts.push_back({ configurationPartKey(next.parts[name]), text });
        }
        puts.push_back({ configurationRootKey, writeRoot(next) });
        puts.push_back({ configurationHistoryKey(next.version), writeRoot(next) });
        CHECK(this->store.commit({ { configurationRootKey, stored.revision } }, puts));
    }

    void failOnce(Fault fault)
    {
        this->store.nextFault = [this, fault] {
            this->store.nextFault = {};
            return fault;
        };
    }

    void contains(std::ostringstream const& stream, char const* text) { STRCMP_CONTAINS(text, stream.str().c_str()); }
};

TEST(OperatorCommands, ApplyWritesRootPartsAndHistoryInOneTransaction)
{
    this->expectCode(ExitCode::Ok, this->apply(files()));
    UNSIGNED_LONGS_EQUAL(1, this->store.transactions);
    UNSIGNED_LONGS_EQUAL(1, this->root().version);
    STRCMP_EQUAL("change-1", this->root().changeId.c_str());
    CHECK(this->document() == parseJson(documentText));
    CHECK(this->store.values.contains("configuration/history/1"));
    this->expectCode(ExitCode::Ok, this->apply(files(R"({"classes": ["urgent", "background"]})")));
    UNSIGNED_LONGS_EQUAL(2, this->root().version);
}

TEST(OperatorCommands, ApplyOfTheSameDocumentWritesNothing)
{
    this->apply(files());
    this->expectCode(ExitCode::Ok, this->apply(files()));
    UNSIGNED_LONGS_EQUAL(1, this->store.transactions);
    this->contains(this->output, "unchanged: version 1");
}

// Guards against a partly applied document and against invalid settings reaching the nodes.
TEST(OperatorCommands, InvalidDocumentIsReportedAndNotApplied)
{
    this->expectCode(ExitCode::CheckFailed, this->apply(files("{\"x\":1,\n\"y\":2}")));
    UNSIGNED_LONGS_EQUAL(0, this->store.transactions);
    this->contains(this->errors, "20.json:1: /x: Unknown key");
    this->contains(this->errors, "20.json:2: /y: Unknown key");
    this->contains(this->errors, "2 errors; nothing was applied");
}

// Guards against nodes that map request keys to different ranges, so that two owners could each execute one key.
TEST(OperatorCommands, ApplyRefusesAnotherNumberOfKeyRanges)
{
    this->apply(files());
    this->expectCode(ExitCode::CheckFailed, this->apply(files("{\"fleet\": {\"keyRanges\": 32}}")));
    UNSIGNED_LONGS_EQUAL(1, this->store.transactions);
    UNSIGNED_LONGS_EQUAL(1, this->root().version);
    this->contains(this->errors, "fleet.keyRanges cannot change from 16 to 32");
    this->contains(this->errors, "Keep 16");
    // A missing member means 16.
    this->expectCode(ExitCode::Ok, this->apply(files("{\"fleet\": {\"keyRanges\": 16, \"watchers\": 3}}")));
    UNSIGNED_LONGS_EQUAL(2, this->root().version);
}

// Guards against reporting a change as failed although it was accepted.
TEST(OperatorCommands, LostResponseToAcceptedChangeIsReadBack)
{
    this->failOnce(Fault::ResponseLost);
    this->expectCode(ExitCode::Ok, this->apply(files()));
    this->contains(this->output, "accepted: version 1");
    this->contains(this->output, "read back");
    UNSIGNED_LONGS_EQUAL(1, this->store.transactions);
}

// Guards against missing an accepted change when another change replaces the root before the result is read back.
TEST(OperatorCommands, LostResponseIsReadBackFromHistoryAfterALaterChange)
{
    this->apply(files());
    this->failOnce(Fault::ResponseLost);
    OperatorCommands::Hooks hooks;
    hooks.createChangeId = [] { return "ours"; };
    hooks.wallClock = [] { return 0_ms; };
    hooks.pause = [this](Milliseconds) { this->commitCompetingChange(); };
    OperatorCommands racing(&this->store, std::move(hooks), this->output, this->errors);
    this->expectCode(ExitCode::Ok, racing.apply(files(R"({"fleet":{"watchers":3}})"), "anna", std::nullopt));
    UNSIGNED_LONGS_EQUAL(3, this->root().version);
    STRCMP_EQUAL("rival-3", this->root().changeId.c_str());
    this->contains(this->output, "accepted: version 2 by anna");
}

// Guards against reporting a change as accepted although its request was lost.
TEST(OperatorCommands, LostRequestIsSentAgain)
{
    this->failOnce(Fault::RequestLost);
    this->expectCode(ExitCode::Ok, this->apply(files()));
    UNSIGNED_LONGS_EQUAL(2, this->store.transactions);
    UNSIGNED_LONGS_EQUAL(1, this->root().version);
}

// Guards against retrying a lost request on top of another operator's change.
TEST(OperatorCommands, LostRequestThenCompetingChangeIsAConflict)
{
    this->apply(files());
    this->store.nextFault = [this] {
        this->store.nextFault = {};
        this->commitCompetingChange();
        return Fault::RequestLost;
    };
    this->expectCode(ExitCode::Conflict, this->apply(files(R"({"fleet":{"watchers":3}})")));
    UNSIGNED_LONGS_EQUAL(7, this->document()["fleet"]["watchers"].asUInt());
    this->contains(this->errors, "version 2 by bert");
}

// Guards against reporting success or failure while the result is unknown.
TEST(OperatorCommands, ResultIsUnknownWhenNothingCanBeReadBack)
{
    this->store.nextFault = [this] {
        this->store.failReads = true;
        return Fault::ResponseLost;
    };
    this->expectCode(ExitCode::ResultUnknown, this->apply(files()));
    this->contains(this->errors, "tgctl history --change change-1");
    this->store.failReads = false;
    auto operatorCommands = this->commands();
    this->expectCode(ExitCode::Ok, operatorCommands.history("change-1"));
    this->expectCode(ExitCode::CheckFailed, operatorCommands.history("change-2"));
}

TEST(OperatorCommands, UnreachableStoreChangesNothing)
{
    this->failOnce(Fault::Unreachable);
    this->expectCode(ExitCode::StoreUnreachable, this->apply(files()));
    CHECK(this->store.values.empty());
    this->store.failReads = true;
    this->expectCode(ExitCode::StoreUnreachable, this->apply(files()));
}

// Guards against lost updates when two operators both read version 1.
TEST(OperatorCommands, RacingOperatorGetsAConflictAndOverwritesNothing)
{
    this->apply(files());
    this->store.nextFault = [this] {
        this->store.nextFault = {};
        this->commitCompetingChange();
        return Fault::None;
    };
    this->expectCode(ExitCode::Conflict, this->apply(files(R"({"fleet":{"watchers":3}})")));
    UNSIGNED_LONGS_EQUAL(2, this->root().version);
    UNSIGNED_LONGS_EQUAL(7, this->document()["fleet"]["watchers"].asUInt());
    this->contains(this->errors, "version 2 by bert");
    this->contains(this->errors, "Nothing was overwritten");
}

// Guards against reverting a newer version, without an error, with a folder based on an older one.
TEST(OperatorCommands, ExpectRefusesAnotherVersion)
{
    this->apply(files());
    this->commitCompetingChange();
    this->expectCode(ExitCode::Conflict, this->apply(files(), 1));
    this->expectCode(ExitCode::Ok, this->apply(files(), 2));
    UNSIGNED_LONGS_EQUAL(3, this->root().version);
}

// Guards against transactions that exceed the store's limits, and against a root that refers to unwritten parts.
TEST(OperatorCommands, LargeDocumentIsWrittenInSeveralTransactions)
{
    Json::Value overlay { Json::objectValue };
    for (int number = 0; number < 250; ++number)
        overlay["services"]["s" + std::to_string(number)]["rule"] = number % 2 ? "parents" : "nurses";
    overlay["rules"]["nurses"] = Json::Value { Json::objectValue };
    for (int number = 0; number < 250; ++number)
        overlay["services"]["s" + std::to_string(number)]["targets"]["t" + std::to_string(number)]
            = parseJson(R"({"address":"127.0.0.1:1","failureDomain":"wien-a"})");
    this->expectCode(ExitCode::Ok, this->apply(files(writeJson(overlay))));
    UNSIGNED_LONGS_EQUAL(3, this->store.transactions);
    UNSIGNED_LONGS_EQUAL(252, this->document()["services"].size());
}

// Guards against retrying a document that the store rejects and then reporting the result as unknown.
TEST(OperatorCommands, PartAboveTheStoresLimitIsRejected)
{
    Json::Value overlay { Json::objectValue };
    for (int number = 0; number < 20'000; ++number)
        overlay["services"]["app"]["targets"]["t" + std::to_string(number)]
            = parseJson(R"({"address":"127.0.0.1:9001","failureDomain":"wien-a"})");
    this->expectCode(ExitCode::CheckFailed, this->apply(files(writeJson(overlay))));
    UNSIGNED_LONGS_EQUAL(0, this->store.transactions);
    this->contains(this->errors, "The part \"services/app\" has ");
}

TEST(OperatorCommands, DrainChangesOnlyThatMember)
{
    this->apply(files());
    this->expectCode(ExitCode::Ok, this->drain("a"));
    auto expected = parseJson(documentText);
    expected["services"]["app"]["targets"]["a"]["draining"] = true;
    CHECK(this->document() == expected);
    this->expectCode(ExitCode::Ok, this->drain("a"));
    UNSIGNED_LONGS_EQUAL(2, this->root().version);
    this->expectCode(ExitCode::Ok, this->drain("app/a", DrainChange::Undo));
    CHECK_FALSE(this->document()["services"]["app"]["targets"]["a"]["draining"].asBool());
}

// Guards against a drain that overwrites another operator's change with the document read before it.
TEST(OperatorCommands, DrainKeepsACompetingChange)
{
    this->apply(files());
    this->store.nextFault = [this] {
        this->store.nextFault = {};
        this->commitCompetingChange();
        return Fault::None;
    };
    this->expectCode(ExitCode::Ok, this->drain("a"));
    UNSIGNED_LONGS_EQUAL(3, this->root().version);
    UNSIGNED_LONGS_EQUAL(7, this->document()["fleet"]["watchers"].asUInt());
    CHECK(this->document()["services"]["app"]["targets"]["a"]["draining"].asBool());
}

// Guards against draining a target of the same name in another service.
TEST(OperatorCommands, DrainRefusesUnknownAndAmbiguousTargets)
{
    this->apply(files());
    this->expectCode(ExitCode::CheckFailed, this->drain("none"));
    this->expectCode(ExitCode::CheckFailed, this->drain("shared"));
    this->contains(this->errors, "Write SERVICE/TARGET");
    this->expectCode(ExitCode::Ok, this->drain("portal/shared"));
    CHECK_FALSE(this->document()["services"]["app"]["targets"]["shared"].isMember("draining"));
}

TEST(OperatorCommands, DiffShowsChangesByPath)
{
    this->apply(files());
    auto operatorCommands = this->commands();
    this->expectCode(ExitCode::Ok, operatorCommands.diff(files(R"({"rules":{"parents":{"queueLimit":9}}})")));
    this->contains(this->output, "+ /rules/parents/queueLimit 9\n1 changes to version 1\n");
}

TEST(OperatorCommands, HistoryIsInOrderOfVersions)
{
    for (int version = 1; version <= 11; ++version)
        this->apply(files(R"({"fleet":{"watchers":)" + std::to_string(version) + "}}"));
    this->output.str("");
    auto operatorCommands = this->commands();
    this->expectCode(ExitCode::Ok, operatorCommands.history(""));
    CHECK(this->output.str().find("version 2 ") < this->output.str().find("version 10 "));
    this->contains(this->output, "version 11 by anna at 2023-11-14T22:13:20Z, change change-11");
}

// Guards against reporting an outdated or unresponsive node as current.
TEST(OperatorCommands, StatusNamesNodesThatAreNotCurrent)
{
    this->apply(files());
    this->apply(files(R"({"fleet":{"watchers":3}})"));
    this->answers["127.0.0.1:1 configurationVersion"] = parseJson(R"({"version":2,"changeId":"change-2"})");
    this->answers["127.0.0.1:2 configurationVersion"] = parseJson(R"({"version":1,"changeId":"change-1"})");
    this->answers["127.0.0.1:3 configurationVersion"] = parseJson(R"([])");
    auto operatorCommands = this->commands();
    this->expectCode(ExitCode::Ok, operatorCommands.status({ { "entry-1", "127.0.0.1:1" } }));
    this->output.str("");
    this->expectCode(ExitCode::CheckFailed,
        operatorCommands.status({ { "entry-1", "127.0.0.1:1" }, { "entry-2", "127.0.0.1:2" },
            { "entry-3", "127.0.0.1:3" }, { "entry-4", "127.0.0.1:4" } }));
    this->contains(this->output, "entry-2 (127.0.0.1:2): version 1, behind by 1");
    this->contains(this->output, "entry-4 (127.0.0.1:4): No answer");
    this->contains(this->output, "1 of 4 nodes are current");
}

TEST(OperatorCommands, ViewPrintsTheNodesResponse)
{
    this->answers["127.0.0.1:1 view"] = parseJson(R"({"ready":true})");
    auto operatorCommands = this->commands();
    std::vector<NodeAddress> const nodes { { "entry-1", "127.0.0.1:1" }, { "entry-2", "127.0.0.1:2" } };
    this->expectCode(ExitCode::Ok, operatorCommands.view(nodes, "entry-1"));
    this->contains(this->output, "\"ready\" : true");
    this->expectCode(ExitCode::CheckFailed, operatorCommands.view(nodes, "entry-2"));
    this->expectCode(ExitCode::Usage, operatorCommands.view(nodes, "entry-3"));
}

TEST(OperatorCommands, ParsesNodeAddresses)
{
    auto const node = parseNodeAddress("entry-1=127.0.0.1:80");
    STRCMP_EQUAL("entry-1", node.name.c_str());
    STRCMP_EQUAL("127.0.0.1:80", node.address.c_str());
    for (auto const* text : { "", "entry-1", "=127.0.0.1:80", "entry-1=" })
        CHECK_THROWS(Error, parseNodeAddress(text));
}
