#include "Base/Json.h"
#include "Configuration/ConfigurationDifference.h"
#include "Configuration/FolderMerge.h"
#include "Configuration/SettingsReader.h"

#include <algorithm>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

/// A valid file; each invalid file of the table is merged on top of it.
static constexpr char const* validText = R"(// fleet of the tests
{
    "fleet": { "nodes": { "entry-1": { "failureDomain": "wien-a" } } }, /* one node */
    "classes": ["urgent", "background"],
    "rules": { "parents": { "priority": "urgent" } },
    "services": { "app": {
        "rule": "parents",
        "targets": { "a": { "address": "127.0.0.1:9001", "failureDomain": "wien-a" } },
        "snapshots": { "s1": { "sequence": 1, "shards": [["a"]] } }
    } }
}
)";

static std::vector<SettingsFault> faultsOf(std::vector<NamedText> const& files)
{
    try {
        FolderMerge::create(files);
    } catch (SettingsError const& error) {
        return error.faults();
    }
    return {};
}

struct InvalidFile {
    char const* text;
    size_t line;
    char const* path;
    char const* problem;
};

static InvalidFile const invalidFiles[] = {
    // Syntax and duplicate keys.
    { "{\n  \"fleet\": {\n    \"watchers\": 2,\n    \"watchers\": 3 } }", 4, "/fleet/watchers",
        "already in this object" },
    { "{\"a\":1,\n\"a\":2}", 2, "/a", "already in this object" },
    { "{\"classes\": [\n  \"urgent\",\n  oops] }", 3, "", "Invalid JSON" },
    { "{\"classes\": [\"urgent\"],\n}", 2, "", "Invalid JSON" },
    { "{}\n{}", 2, "", "Invalid JSON" },
    { "// only a comment\n[]", 2, "", "does not hold a JSON object" },
    { "", 1, "", "Invalid JSON" },
    // Unknown keys on each level.
    { "{\n\"flet\": {} }", 2, "/flet", "Unknown key" },
    { "{ \"fleet\": {\n\"wachers\": 2 } }", 2, "/fleet/wachers", "Unknown key" },
    { "{ \"fleet\": { \"nodes\": { \"entry-1\": {\n\"zone\": \"x\" } } } }", 2, "/fleet/nodes/entry-1/zone",
        "Unknown key" },
    { "{ \"rules\": { \"parents\": {\n\n\"hedging\": true } } }", 3, "/rules/parents/hedging", "Unknown key" },
    { "{ \"rules\": { \"parents\": { \"objective\": {\n\"latency\": 5 } } } }", 2, "/rules/parents/objective/latency",
        "Unknown key" },
    { "{ \"services\": { \"app\": {\n\"target\": {} } } }", 2, "/services/app/target", "Unknown key" },
    { "{ \"services\": { \"app\": { \"targets\": { \"a\": {\n\"slot\": 2 } } } } }", 2, "/services/app/targets/a/slot",
        "Unknown key" },
    { "{ \"services\": { \"app\": { \"snapshots\": { \"s1\": {\n\"seq\": 2 } } } } }", 2,
        "/services/app/snapshots/s1/seq", "Unknown key" },
    // Wrong types.
    { "{\n\"fleet\": 1 }", 2, "/fleet", "Expected an object, found a number" },
    { "{\n\"classes\": {} }", 2, "/classes", "Expected an array, found an object" },
    { "{\n\"classes\": [\"urgent\",\n5] }", 3, "/classes/1", "not a string" },
    { "{ \"fleet\": {\n\"watchers\": \"2\" } }", 2, "/fleet/watchers", "Expected an integer, found a string" },
    { "{ \"fleet\": {\n\"watchers\": 2.5 } }", 2, "/fleet/watchers", "Expected an integer, found 2.5" },
    { "{ \"rules\": { \"parents\": {\n\"hedge\": \"yes\" } } }", 2, "/rules/parents/hedge",
        "Expected a boolean, found a string" },
    { "{ \"rules\": { \"parents\": {\n\"deadlineMs\": true } } }", 2, "/rules/parents/deadlineMs",
        "Expected a number, found a boolean" },
    { "{ \"services\": { \"app\": {\n\"rule\": 1 } } }", 2, "/services/app/rule", "Expected a string, found a number" },
    // Numbers out of range and values that are not allowed.
    { "{ \"fleet\": {\n\"watchers\": 0 } }", 2, "/fleet/watchers", "0 is out of range" },
    { "{ \"fleet\": {\n\"keyRanges\": -1 } }", 2, "/fleet/keyRanges", "-1 is out of range" },
    { "{ \"fleet\": {\n\"routing\": \"mesh\" } }", 2, "/fleet/routing", "\"mesh\" is not allowed" },
    { "{ \"rules\": { \"parents\": {\n\"replicaChoice\": \"best\" } } }", 2, "/rules/parents/replicaChoice",
        "\"best\" is not allowed" },
    { "{ \"rules\": { \"parents\": {\n\"minimumCoverage\": 1.5 } } }", 2, "/rules/parents/minimumCoverage",
        "1.5 is out of range" },
    { "{ \"rules\": { \"parents\": {\n\"hedgeQuantile\": -0.1 } } }", 2, "/rules/parents/hedgeQuantile",
        "-0.1 is out of range" },
    { "{ \"rules\": { \"parents\": {\n\"deadlineMs\": 0 } } }", 2, "/rules/parents/deadlineMs", "0 is out of range" },
    { "{ \"rules\": { \"parents\": { \"objective\": {\n\"ratio\": 1 } } } }", 2, "/rules/parents/objective/ratio",
        "1 is out of range" },
    { "{ \"services\": { \"app\": { \"targets\": { \"a\": {\n\"slots\": 0 } } } } }", 2,
        "/services/app/targets/a/slots", "0 is out of range" },
    { "{ \"services\": { \"app\": { \"targets\": { \"a\": {\n\"slots\": 1e30 } } } } }", 2,
        "/services/app/targets/a/slots", "is out of range" },
    // References and names.
    { "{ \"rules\": { \"parents\": {\n\"priority\": \"vital\" } } }", 2, "/rules/parents/priority",
        "The class \"vital\" does not exist" },
    { "{ \"services\": { \"app\": {\n\"rule\": \"nurses\" } } }", 2, "/services/app/rule",
        "The rule \"nurses\" does not exist" },
    { "{ \"services\": { \"app\": { \"snapshots\": { \"s1\": { \"shards\": [\n[\"a\"],\n[\"b\"] ] } } } } }", 3,
        "/services/app/snapshots/s1/shards/1/0", "The target \"b\" does not exist" },
    { "{ \"services\": { \"app\": { \"snapshots\": { \"s1\": { \"shards\": [\n[\"a\"],\n[] ] } } } } }", 3,
        "/services/app/snapshots/s1/shards/1", "The shard has no target" },
    { "{ \"services\": { \"app\": { \"snapshots\": { \"s1\": { \"shards\": [\n[\"a\", \"a\"] ] } } } } }", 2,
        "/services/app/snapshots/s1/shards/0/1", "listed twice" },
    { "{ \"services\": { \"app\": { \"snapshots\": { \"s1\": {\n\"shards\": [] } } } } }", 2,
        "/services/app/snapshots/s1/shards", "has no shards" },
    { "{ \"services\": { \"app\": { \"snapshots\": {\n\"s2\": { \"sequence\": 1, \"shards\": [[\"a\"]] } } } } }", 2,
        "/services/app/snapshots/s2/sequence", "Another snapshot" },
    { "{ \"services\": { \"app\": { \"targets\": { \"a\": {\n\"address\": \"target.example:80\" } } } } }", 2,
        "/services/app/targets/a/address", "not an IP address with a port" },
    { "{ \"services\": { \"app\": { \"targets\": { \"a\": {\n\"address\": \"127.0.0.1\" } } } } }", 2,
        "/services/app/targets/a/address", "not an IP address with a port" },
    { "{ \"services\": { \"app\": { \"targets\": { \"a\": {\n\"address\": \"127.0.0.1:70000\" } } } } }", 2,
        "/services/app/targets/a/address", "not an IP address with a port" },
    { "{ \"services\": { \"app\": { \"targets\": { \"a\": {\n\"address\": \"::1:80\" } } } } }", 2,
        "/services/app/targets/a/address", "not an IP address with a port" },
    { "{ \"services\": {\n\"a/b\": { \"rule\": \"parents\" } } }", 2, "/services/a~1b", "is not allowed" },
    { "{ \"classes\": [\"urgent\", \"background\",\n\"urgent\"] }", 2, "/classes/2", "listed twice" },
    // Required members that are missing or deleted.
    { "{ \"services\": { \"app\": { \"targets\": {\n\"b\": { \"failureDomain\": \"x\" } } } } }", 2,
        "/services/app/targets/b", "The key \"address\" is missing" },
    { "{ \"services\": {\n\"empty\": {} } }", 2, "/services/empty", "The key \"rule\" is missing" },
    { "{ \"fleet\": { \"nodes\": {\n\"entry-2\": {} } } }", 2, "/fleet/nodes/entry-2",
        "The key \"failureDomain\" is missing" },
};

TEST_GROUP(FolderMerge) {};

TEST(FolderMerge, AcceptsValidFileWithComments)
{
    auto const merge = FolderMerge::create({ { "10.json", validText } });
    UNSIGNED_LONGS_EQUAL(4, merge.document().size());
}

// Guards against errors that are missed or reported with the wrong file, line or key.
TEST(FolderMerge, ReportsEachInvalidFileWithFileLineAndKey)
{
    for (auto const& input : invalidFiles) {
        auto const faults = faultsOf({ { "20.json", input.text }, { "10.json", validText } });
        auto const matches = [&](SettingsFault const& fault) {
            return fault.file == "20.json" && fault.line == input.line && fault.path == input.path
                && fault.problem.find(input.problem) != std::string::npos && !fault.remedy.empty();
        };
        std::string found = std::string("input: ") + input.text + "\nfound:";
        for (auto const& fault : faults)
            found += "\n" + describe(fault);
        CHECK_TEXT(std::any_of(faults.begin(), faults.end(), matches), found.c_str());
    }
}

// Guards against reporting only the first of several errors.
TEST(FolderMerge, ReportsAllFaultsTogether)
{
    auto const faults = faultsOf({ { "10.json", validText },
        { "20.json", "{\"fleet\":{\"watchers\":0,\n\"x\":1},\n\"rules\":{\"parents\":{\"hedge\":1}}}" },
        { "30.json", "{\"fleet\":{\"y\":1}}" } });
    UNSIGNED_LONGS_EQUAL(4, faults.size());
    auto const unreadable = faultsOf({ { "10.json", "{" }, { "20.json", "[]" } });
    UNSIGNED_LONGS_EQUAL(2, unreadable.size());
}

// Guards against a merge order that depends on the file system or the locale: "B" precedes "a", and "10" precedes "9".
TEST(FolderMerge, MergesInByteOrderOfNames)
{
    auto const merge = FolderMerge::create(
        { { "a.json", R"({"fleet":{"watchers":5}})" }, { "B.json", R"({"fleet":{"watchers":4}})" },
            { "9.json", R"({"fleet":{"watchers":3}})" }, { "10.json", validText } });
    UNSIGNED_LONGS_EQUAL(5, merge.document()["fleet"]["watchers"].asUInt());
    STRCMP_EQUAL("a.json", merge.locationOf("/fleet/watchers").file.c_str());
    STRCMP_EQUAL("10.json", merge.locationOf("/fleet/nodes").file.c_str());
    UNSIGNED_LONGS_EQUAL(3, merge.locationOf("/fleet/nodes/entry-1").line);
}

TEST(FolderMerge, NullDeletesAndArraysAreReplaced)
{
    auto const merge = FolderMerge::create({ { "10.json", validText },
        { "20.json", R"({"services": null, "classes": ["urgent"], "fleet": {"nodes": {"entry-1": null}}})" } });
    CHECK_FALSE(merge.document().isMember("services"));
    UNSIGNED_LONGS_EQUAL(1, merge.document()["classes"].size());
    CHECK(merge.document()["fleet"]["nodes"].empty());
}

// Guards against keeping nulls in objects that a patch creates (RFC 7396, section 2).
TEST(FolderMerge, NullInANewObjectIsDropped)
{
    auto const merge = FolderMerge::create(
        { { "10.json", validText }, { "20.json", R"({"rules":{"night":{"deadlineMs":null,"queueLimit":9}}})" } });
    UNSIGNED_LONGS_EQUAL(1, merge.document()["rules"]["night"].size());
}

// Guards against applying a folder without files as an empty configuration.
TEST(FolderMerge, RefusesEmptyFolder) { UNSIGNED_LONGS_EQUAL(1, faultsOf({}).size()); }

TEST(FolderMerge, DescribesFaultOnOneLine)
{
    STRCMP_EQUAL("f.json:3: /a/b: Wrong. Repair it",
        describe(SettingsFault { "f.json", 3, "/a/b", "Wrong", "Repair it" }).c_str());
}

TEST_GROUP(ConfigurationDifference) {};

TEST(ConfigurationDifference, NamesAddedRemovedAndChangedPaths)
{
    auto const difference = ConfigurationDifference::between(parseJson(R"({"a":{"x":1,"y":[1]},"b":2,"s":"t"})"),
        parseJson(R"({"a":{"x":1,"y":[1,2],"z/":{}},"s":{"t":1}})"));
    STRCMP_EQUAL("~ /a/y [1] -> [1,2]\n+ /a/z~1 {}\n- /b 2\n~ /s \"t\" -> {\"t\":1}\n", difference.describe().c_str());
}

TEST(ConfigurationDifference, IsEmptyForEqualDocuments)
{
    auto const document = parseJson(R"({"a":{"x":[1,{"y":null}]}})");
    CHECK(ConfigurationDifference::between(document, document).empty());
}

TEST_GROUP(SettingsReader) {};

// Guards against a daemon starting with defaults in place of invalid or misspelled settings.
TEST(SettingsReader, DaemonSettingsAreCheckedAndLocated)
{
    auto const text = SettingsText::create("node.json", "{\n\"name\": \"entry-1\",\n\"stopMs\": 5,\n\"prot\": 1\n}");
    std::vector<SettingsFault> faults;
    SettingsReader reader(text.root(), "", faults);
    STRCMP_EQUAL("entry-1", reader.requiredText("name").c_str());
    UNSIGNED_LONGS_EQUAL(1000, reader.integer("stopMs", 1000, { 10, 60'000 }));
    UNSIGNED_LONGS_EQUAL(8080, reader.integer("port", 8080, { 1, 65'535 }));
    reader.reportUnknownKeys();
    try {
        text.throwFaults(std::move(faults));
        FAIL("expected an error");
    } catch (SettingsError const& error) {
        STRCMP_EQUAL("node.json:3: /stopMs: The number 5 is out of range. Use an integer from 10 to 60000\n"
                     "node.json:4: /prot: Unknown key. Remove it or use one of: name, port, stopMs",
            error.what());
    }
}
