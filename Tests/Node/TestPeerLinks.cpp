#include "../Net/NetTestSupport.h"
#include "Base/Json.h"
#include "Node/PeerLinks.h"

#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

namespace {

struct TestNode {
    TestNode(EventLoop& loop, std::string const& name)
        : links(loop, "127.0.0.1:0", name, this->hooks())
    {
    }
    PeerLinks::Hooks hooks()
    {
        PeerLinks::Hooks result;
        result.frame = [this](Json::Value&& frame) { this->frames.push_back(std::move(frame)); };
        result.connectionLost = [this](std::string const& peer) { this->lostPeers.push_back(peer); };
        return result;
    }
    std::string address() const { return this->links.address().toString(); }

    std::vector<Json::Value> frames;
    std::vector<std::string> lostPeers;
    PeerLinks links;
};

Json::Value frameOf(std::string const& sender, int number)
{
    Json::Value frame;
    frame["from"] = sender;
    frame["kind"] = "probe";
    frame["number"] = number;
    return frame;
}

std::string frameBytes(std::string const& text)
{
    std::string const length { 0, 0, static_cast<char>(text.size() >> 8), static_cast<char>(text.size()) };
    return length + text;
}

} // namespace

// clang-format off
TEST_GROUP(PeerLinks)
{
    EventLoop loop;
    std::unique_ptr<TestNode> first;
    std::unique_ptr<TestNode> second;

    void setup() override
    {
        this->first = std::make_unique<TestNode>(this->loop, "first");
        this->second = std::make_unique<TestNode>(this->loop, "second");
    }
    void teardown() override
    {
        this->first.reset();
        this->second.reset();
    }
};
// clang-format on

// Guards against frames that are lost or reordered while the first connection is established.
TEST(PeerLinks, DialsAndSendsInOrder)
{
    for (int number = 0; number < 10; ++number)
        this->first->links.send("second", this->second->address(), frameOf("first", number));
    runUntil(this->loop, 500_ms, [this] { return this->second->frames.size() == 10; });
    LONGS_EQUAL(10, this->second->frames.size());
    LONGS_EQUAL(9, this->second->frames.back()["number"].asInt());
    this->second->links.send("first", this->first->address(), frameOf("second", 1));
    runUntil(this->loop, 500_ms, [this] { return !this->first->frames.empty(); });
    LONGS_EQUAL(1, this->first->frames.size());
}

// Guards against detecting a dead peer only by missed probes.
TEST(PeerLinks, ReportsLostConnectionsOnBothSides)
{
    this->first->links.send("second", this->second->address(), frameOf("first", 1));
    runUntil(this->loop, 500_ms, [this] { return this->second->frames.size() == 1; });
    this->first.reset();
    auto const time = runUntil(this->loop, 500_ms, [this] { return !this->second->lostPeers.empty(); });
    CHECK(time < 100_ms);
    STRCMP_EQUAL("first", this->second->lostPeers.front().c_str());
}

// Guards against frames that are lost without a report while a peer cannot be reached, and against too frequent
// connection attempts.
TEST(PeerLinks, ReportsAPeerThatCannotBeReached)
{
    auto const address = this->second->address();
    this->second.reset();
    this->first->links.send("second", address, frameOf("first", 1));
    runUntil(this->loop, 500_ms, [this] { return this->first->lostPeers.size() == 1; });
    LONGS_EQUAL(1, this->first->lostPeers.size());
    this->first->links.send("second", address, frameOf("first", 2));
    this->first->links.send("second", address, frameOf("first", 3));
    runUntil(this->loop, 50_ms, [this] { return this->first->lostPeers.size() == 2; });
    LONGS_EQUAL(2, this->first->lostPeers.size());
    LONGS_EQUAL(2, this->first->links.counters().framesDropped);
    LONGS_EQUAL(1, this->first->links.counters().connectionsLost);
}

// Guards against sending frames for a replacement VM to the address of its predecessor.
TEST(PeerLinks, FollowsANewAddress)
{
    TestNode successor(this->loop, "second");
    this->first->links.send("second", this->second->address(), frameOf("first", 1));
    runUntil(this->loop, 500_ms, [this] { return this->second->frames.size() == 1; });
    this->first->links.send("second", successor.address(), frameOf("first", 2));
    runUntil(this->loop, 500_ms, [&] { return successor.frames.size() == 1; });
    LONGS_EQUAL(1, successor.frames.size());
    LONGS_EQUAL(0, this->first->lostPeers.size());
}

// Guards against reporting a peer as lost at the end of an old connection although it has already dialled again.
TEST(PeerLinks, IgnoresTheEndOfAnOlderConnection)
{
    RawPeer old(this->second->links.address());
    old.send(frameBytes(R"({"from":"third","kind":"probe"})"));
    runUntil(this->loop, 500_ms, [this] { return this->second->frames.size() == 1; });
    RawPeer fresh(this->second->links.address());
    fresh.send(frameBytes(R"({"from":"third","kind":"probe"})"));
    runUntil(this->loop, 500_ms, [this] { return this->second->frames.size() == 2; });
    old.socket.close();
    runUntil(this->loop, 30_ms, [] { return false; });
    LONGS_EQUAL(0, this->second->lostPeers.size());
    fresh.socket.close();
    runUntil(this->loop, 500_ms, [this] { return !this->second->lostPeers.empty(); });
    LONGS_EQUAL(1, this->second->lostPeers.size());
}

// Guards against frames without a sender, with this node as sender, or with two senders on one connection.
TEST(PeerLinks, ClosesConnectionsWithAWrongSender)
{
    std::vector<std::string> const table {
        frameBytes(R"({"kind":"probe"})"),
        frameBytes(R"({"from":"","kind":"probe"})"),
        frameBytes(R"({"from":7,"kind":"probe"})"),
        frameBytes(R"({"from":"second","kind":"probe"})"),
        frameBytes(R"({"from":"a","kind":"probe"})") + frameBytes(R"({"from":"b","kind":"probe"})"),
    };
    for (auto const& bytes : table) {
        RawPeer peer(this->second->links.address());
        peer.send(bytes);
        auto const time = peer.receiveUntilClosed(this->loop, 500_ms);
        CHECK(peer.closed);
        CHECK(time < 100_ms);
    }
    LONGS_EQUAL(1, this->second->frames.size());
    LONGS_EQUAL(5, this->second->links.counters().framesDropped);
}

// Guards against counting control traffic under the wrong kind, which would hide that a limit is exceeded.
TEST(PeerLinks, CountsSentBytesByKindOfFrame)
{
    auto probe = frameOf("first", 1);
    auto newer = probe;
    newer["kind"] = "kind-of-a-newer-version";
    auto invalidKind = probe;
    invalidKind["kind"] = 7;
    for (auto const& frame : { probe, newer, invalidKind })
        this->first->links.send("second", this->second->address(), frame);
    auto const& bytes = this->first->links.counters().bytesSent;
    LONGS_EQUAL(writeJson(probe).size() + 4, bytes[3]);
    LONGS_EQUAL(writeJson(newer).size() + 4 + writeJson(invalidKind).size() + 4, bytes.back());
    STRCMP_EQUAL("probe", countedFrameKinds[3].data());
}
