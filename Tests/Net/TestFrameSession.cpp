#include "Base/Json.h"
#include "Net/FrameSession.h"
#include "Net/TcpListener.h"
#include "NetTestSupport.h"

#include <optional>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static std::string frameBytes(std::string const& text, std::optional<uint32_t> length = std::nullopt)
{
    auto const size = length.value_or(static_cast<uint32_t>(text.size()));
    std::string result;
    for (int shift = 24; shift >= 0; shift -= 8)
        result += static_cast<char>(size >> shift);
    return result + text;
}

// clang-format off
TEST_GROUP(FrameSession)
{
    EventLoop loop;
    FrameLimits limits { 1000, 5000000 };
    std::vector<Json::Value> frames;
    std::vector<FrameSession::End> ends;
    FrameSession::Pointer session;
    TcpListener listener { this->loop, "127.0.0.1:0",
        [this](Poco::Net::StreamSocket const& socket) {
            this->session = FrameSession::adopt(this->loop, socket, this->limits, this->hooks());
        } };

    void teardown() override
    {
        if (this->session)
            this->session->close();
    }
    FrameSession::Hooks hooks()
    {
        FrameSession::Hooks result;
        result.frame = [this](Json::Value&& frame) { this->frames.push_back(std::move(frame)); };
        result.ended = [this](FrameSession::End end) { this->ends.push_back(end); };
        return result;
    }
    RawPeer connect()
    {
        RawPeer peer(this->listener.address());
        runUntil(this->loop, 500_ms, [this] { return this->session != nullptr; });
        return peer;
    }
    Milliseconds waitForFrames(size_t count)
    {
        return runUntil(this->loop, 500_ms, [&] { return this->frames.size() >= count; });
    }
};
// clang-format on

// Guards against a reader that treats one read as one frame.
TEST(FrameSession, ReadsSplitAndJoinedFrames)
{
    auto peer = this->connect();
    auto const bytes = frameBytes(R"({"kind":"probe"})") + frameBytes(R"({"kind":"probed"})");
    for (char const byte : bytes) {
        peer.send({ &byte, 1 });
        this->loop.runOnce(1_ms);
    }
    peer.send(bytes);
    this->waitForFrames(4);
    LONGS_EQUAL(4, this->frames.size());
    STRCMP_EQUAL("probed", this->frames[3]["kind"].asCString());
}

// Guards against unbounded buffers and against a receiver that continues after it has lost the frame boundaries.
TEST(FrameSession, ClosesPromptlyOnInvalidFrames)
{
    std::vector<std::string> const table {
        frameBytes("", 1001),
        frameBytes("", 0xffffffff),
        frameBytes("", 0),
        frameBytes("{"),
        frameBytes("[1]"),
        frameBytes("\"text\""),
        frameBytes(R"({"a":1,"a":2})"),
        frameBytes(std::string(900, '[')),
        frameBytes(R"({"a":1} x)"),
    };
    for (auto const& bytes : table) {
        this->session.reset();
        this->ends.clear();
        auto peer = this->connect();
        peer.send(bytes);
        auto const time = peer.receiveUntilClosed(this->loop, 500_ms);
        CHECK(peer.closed);
        CHECK(time < 100_ms);
        LONGS_EQUAL(1, this->ends.size());
        CHECK(this->ends.front() == FrameSession::End::ProtocolViolation);
    }
    LONGS_EQUAL(0, this->frames.size());
}

// Guards against delivering a truncated frame after the connection broke in the middle of it.
TEST(FrameSession, DropsATruncatedFrame)
{
    auto peer = this->connect();
    peer.send(frameBytes(R"({"kind":"probe"})", 30));
    this->loop.runOnce(5_ms);
    peer.socket.close();
    auto const time = runUntil(this->loop, 500_ms, [this] { return !this->ends.empty(); });
    CHECK(time < 100_ms);
    LONGS_EQUAL(0, this->frames.size());
    CHECK(this->ends.front() == FrameSession::End::PeerClosed);
}

// Guards against output that grows without bound while the peer does not read.
TEST(FrameSession, ClosesWhenThePeerDoesNotRead)
{
    auto peer = this->connect();
    Json::Value frame;
    frame["text"] = std::string(900, 'x');
    auto const time = runUntil(this->loop, 3000_ms, [&] {
        for (int count = 0; count < 1000 && this->session->send(frame); ++count) { }
        return !this->ends.empty();
    });
    CHECK(time < 3000_ms);
    LONGS_EQUAL(1, this->ends.size());
    CHECK(this->ends.front() == FrameSession::End::OutputOverflow);
    CHECK(this->session->isClosed());
}

// Guards against a frame that the receiver would refuse by closing the connection, which would lose the other frames on
// it.
TEST(FrameSession, RefusesToSendAnOversizedFrame)
{
    auto peer = this->connect();
    Json::Value frame;
    frame["text"] = std::string(1000, 'x');
    CHECK_FALSE(this->session->send(frame));
    frame["text"] = "fits";
    CHECK(this->session->send(frame));
    peer.receiveUntilText(this->loop, 500_ms, "fits");
    STRCMP_EQUAL(frameBytes(R"({"text":"fits"})").c_str() + 4, peer.received.substr(4).c_str());
}

// Guards against frames that are lost because they were sent before the connection was established.
TEST(FrameSession, KeepsFramesUntilConnected)
{
    auto const client = FrameSession::connect(this->loop, this->listener.address(), this->limits, {});
    Json::Value frame;
    for (int number = 0; number < 3; ++number) {
        frame["number"] = number;
        CHECK(client->send(frame));
    }
    this->waitForFrames(3);
    LONGS_EQUAL(2, this->frames.back()["number"].asInt());
    client->close();
}

// Guards against a refused connection that is never reported to the owner of the session.
TEST(FrameSession, ReportsARefusedConnection)
{
    auto const address = this->listener.address();
    this->listener.close();
    auto const client = FrameSession::connect(this->loop, address, this->limits, this->hooks());
    auto const time = runUntil(this->loop, 500_ms, [this] { return !this->ends.empty(); });
    CHECK(time < 100_ms);
    CHECK(this->ends.front() == FrameSession::End::ConnectFailed);
    CHECK(client->isClosed());
}
