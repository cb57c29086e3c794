#include "Base/Error.h"
#include "Base/Hash.h"
#include "Base/Json.h"
#include "Configuration/ConfigurationParts.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static Json::Value sampleDocument()
{
    return parseJson(R"({
        "fleet": {"nodes": {"entry-1": {"failureDomain": "wien-a"}}, "carriersPerTarget": 2, "routing": "direct",
                  "watchers": 1, "keyRanges": 8},
        "classes": ["urgent", "background"],
        "rules": {"parents": {"priority": "urgent", "deadlineMs": 40, "minimumCoverage": 0.5, "hedge": false,
                  "hedgeQuantile": 0.9, "extraLoadBudget": 0.1, "replicaChoice": "random", "queueLimit": 7,
                  "ejection": false, "limits": false, "atMostOnce": false, "echoCheck": false,
                  "objective": {"latencyMs": 30, "ratio": 0.95}}},
        "services": {"app": {"rule": "parents",
            "targets": {"a": {"address": "127.0.0.1:9001", "failureDomain": "wien-a", "slots": 2, "connections": 25,
                              "draining": true},
                        "b": {"address": "[::1]:9002", "failureDomain": "wien-b"}},
            "snapshots": {"s1": {"sequence": 1, "shards": [["a"]]},
                          "s2": {"sequence": 2, "shards": [["a", "b"], ["b"]]}}}}
    })");
}

static std::map<std::string, std::string> textsByHash(
    std::map<std::string, std::string> const& parts, ConfigurationRoot& root)
{
    std::map<std::string, std::string> texts;
    for (auto const& [name, text] : parts) {
        root.parts[name] = contentHash(text);
        texts[root.parts[name]] = text;
    }
    return texts;
}

TEST_GROUP(ConfigurationParts) {};

TEST(ConfigurationParts, RootSurvivesWritingAndParsing)
{
    ConfigurationRoot root { 7, "change", "anna", { 1'700'000'000'000 }, { { "fleet", "abc" } } };
    auto const parsed = parseRoot(writeRoot(root));
    UNSIGNED_LONGS_EQUAL(7, parsed.version);
    STRCMP_EQUAL("change", parsed.changeId.c_str());
    STRCMP_EQUAL("anna", parsed.author.c_str());
    DOUBLES_EQUAL(1'700'000'000'000, parsed.time.value, 0.5);
    CHECK(root.parts == parsed.parts);
}

// Guards against accepting a damaged root as version 0 or as an empty configuration.
TEST(ConfigurationParts, RefusesRootWithMissingMembers)
{
    CHECK_THROWS(Error, parseRoot("{}"));
    CHECK_THROWS(Error, parseRoot(R"({"version":1,"changeId":"c"})"));
    CHECK_THROWS(Error, parseRoot(R"({"version":"1","changeId":"c","parts":{}})"));
    CHECK_THROWS(Error, parseRoot(R"({"version":1,"changeId":"c","parts":{"fleet":1}})"));
}

// Guards against keys of the document that are validated but not copied to the configuration.
TEST(ConfigurationParts, ParsesEveryKey)
{
    auto const configuration = parseDocument(sampleDocument(), 3, "change");
    UNSIGNED_LONGS_EQUAL(3, configuration->version);
    STRCMP_EQUAL("change", configuration->changeId.c_str());
    STRCMP_EQUAL("wien-a", configuration->fleet.nodes.at("entry-1").failureDomain.c_str());
    UNSIGNED_LONGS_EQUAL(2, configuration->fleet.dispatchersPerTarget);
    CHECK(configuration->fleet.routing == Routing::Direct);
    UNSIGNED_LONGS_EQUAL(1, configuration->fleet.watchers);
    UNSIGNED_LONGS_EQUAL(8, configuration->fleet.keyRanges);
    UNSIGNED_LONGS_EQUAL(2, configuration->classes.size());
    auto const& rule = configuration->rules.at("parents");
    STRCMP_EQUAL("urgent", rule.priority.c_str());
    DOUBLES_EQUAL(40, rule.deadline.value, 0);
    DOUBLES_EQUAL(0.5, rule.minimumCoverage, 0);
    DOUBLES_EQUAL(0.9, rule.hedgeQuantile, 0);
    DOUBLES_EQUAL(0.1, rule.extraLoadBudget, 0);
    CHECK(rule.replicaChoice == ReplicaChoice::Random);
    UNSIGNED_LONGS_EQUAL(7, rule.queueLimit);
    for (auto const feature : { rule.hedge, rule.ejection, rule.limits, rule.atMostOnce, rule.echoCheck })
        CHECK(feature == Feature::Off);
    DOUBLES_EQUAL(30, rule.objective.latency.value, 0);
    DOUBLES_EQUAL(0.95, rule.objective.ratio, 0);
    auto const& service = *configuration->service("app");
    auto const& target = service.targets.at("a");
    STRCMP_EQUAL("127.0.0.1:9001", target.address.c_str());
    UNSIGNED_LONGS_EQUAL(2, target.slots);
    UNSIGNED_LONGS_EQUAL(25, target.connections);
    CHECK(target.intent == TargetIntent::Draining);
    CHECK(service.targets.at("b").intent == TargetIntent::Serving);
    STRCMP_EQUAL("s2", service.snapshots.front().id.c_str());
    UNSIGNED_LONGS_EQUAL(2, service.snapshots.front().shards.size());
}

TEST(ConfigurationParts, AssemblesWhatWasSplit)
{
    ConfigurationRoot root { 5, "change", "", {}, {} };
    auto const texts = textsByHash(splitDocument(sampleDocument()), root);
    UNSIGNED_LONGS_EQUAL(4, root.parts.size());
    CHECK(assembleDocument(root, texts) == sampleDocument());
    auto const configuration = assembleConfiguration(root, texts);
    UNSIGNED_LONGS_EQUAL(5, configuration->version);
    UNSIGNED_LONGS_EQUAL(2, configuration->service("app")->targets.size());
}

// Guards against installing a part whose text does not match its hash.
TEST(ConfigurationParts, RefusesMissingAndDamagedParts)
{
    ConfigurationRoot root { 5, "change", "", {}, {} };
    auto texts = textsByHash(splitDocument(sampleDocument()), root);
    auto const hash = root.parts.at("services/app");
    texts[hash] += " ";
    CHECK_THROWS(Error, assembleConfiguration(root, texts));
    texts.erase(hash);
    try {
        assembleConfiguration(root, texts);
        FAIL("expected an error");
    } catch (Error const& error) {
        CHECK(error.kind() == ErrorKind::NotFound);
    }
}

// Guards against an older node rejecting a document that contains a key of a newer version.
TEST(ConfigurationParts, NodesIgnoreUnknownKeysThatOperatorsMayNotWrite)
{
    auto document = sampleDocument();
    document["rules"]["parents"]["newer"] = 1;
    document["newerPart"] = 1;
    CHECK_THROWS(Error, parseDocument(document, 1, ""));
    ConfigurationRoot root { 5, "change", "", {}, {} };
    auto const texts = textsByHash(splitDocument(document), root);
    UNSIGNED_LONGS_EQUAL(5, assembleConfiguration(root, texts)->version);
}
