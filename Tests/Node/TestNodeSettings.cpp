#include "Configuration/SettingsFault.h"
#include "Node/NodeSettings.h"

#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static std::string validSettings(std::string const& more = "")
{
    return R"({
    // Comments are allowed.
    "name": "entry-1",
    "failureDomain": "wien-a",
    "callerListen": "127.0.0.1:8101",
    "peerListen": "127.0.0.1:8201",
    "adminListen": "127.0.0.1:8301",
    "store": "127.0.0.1:2379",
    "vmList": "127.0.0.1:2379")"
        + more + "}";
}

/// Message of the error; empty when the text was accepted.
static std::string refusal(std::string const& text)
{
    try {
        parseNodeSettings("node.json", text);
    } catch (SettingsError const& error) {
        return error.what();
    }
    return {};
}

TEST_GROUP(NodeSettings) {};

// Guards against a setting that is not applied, and against a node that lists itself as its peer.
TEST(NodeSettings, ReadsAllSettings)
{
    auto const options
        = parseNodeSettings("node.json", validSettings(R"(, "peers": [{"name": "entry-2", "address": "127.0.0.2:8201"},
            {"name": "entry-1", "address": "127.0.0.1:8201"}],
            "stop": {"balancerLagMs": 300, "drainMs": 4000})"));
    STRCMP_EQUAL("entry-1", options.name.c_str());
    STRCMP_EQUAL("wien-a", options.failureDomain.c_str());
    STRCMP_EQUAL("127.0.0.1:8301", options.adminListen.c_str());
    LONGS_EQUAL(1, options.peers.size());
    STRCMP_EQUAL("127.0.0.2:8201", options.peers.front().address.c_str());
    CHECK(options.balancerLag == 300_ms);
    CHECK(options.drain == 4000_ms);
}

// Guards against a stop without a time limit when the section is missing.
TEST(NodeSettings, HasDefaultsForTheStop)
{
    auto const options = parseNodeSettings("node.json", validSettings());
    CHECK(options.balancerLag == 2000_ms);
    CHECK(options.drain == 10000_ms);
}

// Guards against a node that starts with settings that the operator did not intend; each message names file, line and
// key.
TEST(NodeSettings, RefusesInvalidSettings)
{
    struct Example {
        std::string more;
        std::vector<std::string> expected;
    };
    std::vector<Example> const table {
        { R"(, "drain": 1)", { "node.json:9", "/drain" } },
        { R"(, "name": "b")", { "node.json:9", "name" } },
        { ",\n\"stop\": {\"drainMs\": \"long\"}", { "node.json:10", "/stop/drainMs" } },
        { ",\n\"stop\": {\"drainMs\": 99999999}", { "node.json:10", "/stop/drainMs", "600000" } },
        { ",\n\"stop\": {\"lag\": 1}", { "node.json:10", "/stop/lag" } },
        { ",\n\"peers\": [{\"name\": \"a\"}]", { "node.json:10", "/peers/0", "address" } },
        { ",\n\"peers\": [{\"name\": \"a\", \"address\": \"host:1\"}]", { "node.json:10", "/peers/0/address" } },
        { ",\n\"peers\": [{\"name\": \"a b\", \"address\": \"127.0.0.1:1\"}]", { "node.json:10", "/peers/0/name" } },
        { ",\n\"peers\": [{\"name\": \"a\", \"address\": \"127.0.0.1:1\"}, {\"name\": \"a\", \"address\": "
          "\"127.0.0.1:2\"}]",
            { "node.json:10", "/peers/1/name", "twice" } },
    };
    for (auto const& example : table) {
        auto const message = refusal(validSettings(example.more));
        for (auto const& expected : example.expected)
            CHECK_TEXT(message.find(expected) != std::string::npos, (example.more + " -> " + message).c_str());
    }
}

// Guards against a report that stops at the first fault, so that operators need one start per fault.
TEST(NodeSettings, ReportsAllFaultsTogether)
{
    auto const message = refusal(R"({"name": "entry-1", "callerListen": "localhost:80", "peerListen": "127.0.0.1:0"})");
    for (char const* expected : { "\"failureDomain\" is missing", "/callerListen: ", "/peerListen: ",
             "\"adminListen\" is missing", "\"store\" is missing", "\"vmList\" is missing", "node.json:1" })
        CHECK_TEXT(message.find(expected) != std::string::npos, expected);
}

// Guards against two listeners on one port, of which one fails only at the start.
TEST(NodeSettings, RefusesEqualListeners)
{
    auto text = validSettings();
    auto const port = text.find("8201");
    text.replace(port, 4, "8101");
    CHECK(refusal(text).find("/peerListen") != std::string::npos);
}

// Guards against treating a missing file as empty settings.
TEST(NodeSettings, RefusesAMissingFile) { CHECK_THROWS(SettingsError, readNodeSettings("no-such-file.json")); }
