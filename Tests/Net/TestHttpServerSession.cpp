#include "Net/HttpServer.h"
#include "NetTestSupport.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

namespace {

HttpServer::Limits testLimits()
{
    HttpServer::Limits limits;
    limits.session.sizes = { 2048, 1000 };
    limits.session.requestTimeout = 150_ms;
    limits.session.idleTimeout = 300_ms;
    limits.session.responseTimeout = 300_ms;
    limits.session.stopGrace = 50_ms;
    limits.connections = 8;
    return limits;
}

struct MalformedRequest {
    char const* what;
    std::string bytes;
    char const* expectedStatus;
};

std::string post(std::string const& fields, std::string const& body)
{
    return "POST /echo HTTP/1.1\r\nHost: test\r\n" + fields + "\r\n" + body;
}

} // namespace

// clang-format off
TEST_GROUP(HttpServerSession)
{
    EventLoop loop;
    std::vector<HttpServerRequest> requests;
    std::vector<HttpServerSession::Pointer> running;
    int disconnected { 0 };
    bool answerAtOnce { true };
    Poco::Net::HTTPResponse::HTTPStatus answerStatus { Poco::Net::HTTPResponse::HTTP_OK };
    std::unique_ptr<HttpServer> server;

    void setup() override
    {
        HttpServerSession::Hooks hooks;
        hooks.request = [this](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
            this->requests.push_back(std::move(request));
            if (this->answerAtOnce)
                this->answer(session, this->requests.back().body);
            else
                this->running.push_back(session);
        };
        hooks.disconnected = [this](HttpServerSession::Pointer const&) { ++this->disconnected; };
        this->server = std::make_unique<HttpServer>(this->loop, "127.0.0.1:0", testLimits(), hooks);
    }
    void teardown() override
    {
        this->running.clear();
        this->server.reset();
    }
    void answer(HttpServerSession::Pointer const& session, std::string const& body)
    {
        Poco::Net::HTTPResponse head(this->answerStatus);
        session->respond(head, body);
    }
    RawPeer connect() { return RawPeer(this->server->address()); }
};
// clang-format on

// Guards against a body behind the head of an answer that has none, which the peer takes for its next answer: of any
// own answer to HEAD, also while the request is being read, and of answers with 204 and 304.
TEST(HttpServerSession, AnswersWithoutABodySendNone)
{
    auto const headOf = [this](std::string const& bytes, bool later = false) {
        RawPeer peer(this->server->address());
        peer.send(bytes);
        if (later)
            peer.receiveUntilClosed(this->loop, 500_ms);
        else
            peer.receiveUntilText(this->loop, 500_ms, "\r\n\r\n");
        runUntil(this->loop, 20_ms, [] { return false; });
        peer.receive();
        auto const end = peer.received.find("\r\n\r\n");
        CHECK_TEXT(end != std::string::npos, bytes.c_str());
        CHECK_EQUAL(std::string(), peer.received.substr(end + 4));
        return peer.received;
    };
    this->answerAtOnce = true;
    // The test's server answers with the body of the request.
    auto const answer = headOf("HEAD /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nbody");
    STRCMP_CONTAINS("Content-Length: 4\r\n", answer.c_str());
    STRCMP_CONTAINS(" 400 ", headOf("HEAD /echo HTTP/1.1\r\nHost : test\r\n\r\n").c_str());
    STRCMP_CONTAINS(" 413 ", headOf("HEAD /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 9999\r\n\r\n").c_str());
    STRCMP_CONTAINS(" 431 ", headOf("HEAD /echo HTTP/1.1\r\nHost: test\r\nX: " + std::string(3000, 'a')).c_str());
    STRCMP_CONTAINS(" 408 ", headOf("HEAD /echo HTTP/1.1\r\nHost: te", true).c_str());
    STRCMP_CONTAINS(" 408 ", headOf("HEAD /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nb", true).c_str());
    for (auto const status : { Poco::Net::HTTPResponse::HTTP_NO_CONTENT, Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED }) {
        this->answerStatus = status;
        auto const text = headOf(post("Content-Length: 4\r\n", "body"));
        CHECK(text.find("Content-Length") == std::string::npos);
    }
}

// Guards against a persistent connection that is closed after one request.
TEST(HttpServerSession, KeepsTheConnectionBetweenRequests)
{
    auto peer = this->connect();
    peer.send(post("Content-Length: 3\r\n", "one"));
    peer.receiveUntilText(this->loop, 500_ms, "\r\n\r\none");
    peer.send(post("Content-Length: 3\r\n", "two"));
    peer.receiveUntilText(this->loop, 500_ms, "\r\n\r\ntwo");
    LONGS_EQUAL(2, this->requests.size());
    CHECK_FALSE(peer.closed);
    LONGS_EQUAL(1, this->server->connections());
}

// Guards against a reader that depends on how TCP segments the bytes.
TEST(HttpServerSession, ReadsAChunkedBodyByteByByte)
{
    auto peer = this->connect();
    auto const bytes
        = post("Transfer-Encoding: chunked\r\n", "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: 1\r\n\r\n");
    for (char const byte : bytes) {
        peer.send({ &byte, 1 });
        this->loop.runOnce(1_ms);
    }
    peer.receiveUntilText(this->loop, 500_ms, "abc0123456789");
    LONGS_EQUAL(1, this->requests.size());
    STRCMP_EQUAL("abc0123456789", this->requests.front().body.c_str());
}

// Guards against requests that two receivers would frame differently, against unbounded buffers, and against errors
// after which the connection stays open.
TEST(HttpServerSession, RefusesMalformedRequestsPromptly)
{
    std::vector<MalformedRequest> const table {
        { "no version", "GET /\r\nHost: a\r\n\r\n", "400" },
        { "text", "what is this\r\n\r\n", "400" },
        { "control character in the request line", "GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n", "400" },
        { "method is no token", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", "400" },
        { "version 2.0", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", "505" },
        { "no host", "GET / HTTP/1.1\r\n\r\n", "400" },
        { "field without colon", "GET / HTTP/1.1\r\nHost: a\r\nnonsense\r\n\r\n", "400" },
        { "space before the colon", post("Content-Length : 3\r\n", "abc"), "400" },
        { "folded field", post("X: a\r\n b\r\nContent-Length: 3\r\n", "abc"), "400" },
        { "two lengths", post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), "400" },
        { "length and coding", post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), "400" },
        { "negative length", post("Content-Length: -3\r\n", "abc"), "400" },
        { "signed length", post("Content-Length: +3\r\n", "abc"), "400" },
        { "length with a letter", post("Content-Length: 3a\r\n", "abc"), "400" },
        { "length beyond 64 bits", post("Content-Length: 99999999999999999999\r\n", "abc"), "400" },
        { "unknown coding", post("Transfer-Encoding: gzip\r\n", "abc"), "501" },
        { "two codings", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), "501" },
        { "chunk size is no number", post("Transfer-Encoding: chunked\r\n", "xyz\r\nabc\r\n"), "400" },
        { "negative chunk size", post("Transfer-Encoding: chunked\r\n", "-1\r\nabc\r\n"), "400" },
        { "chunk longer than its size", post("Transfer-Encoding: chunked\r\n", "2\r\nabc\r\n0\r\n\r\n"), "400" },
        { "chunk above the limit", post("Transfer-Encoding: chunked\r\n", "FFFFFFFFFFFFFFFF\r\n"), "413" },
        { "chunks together above the limit",
            post("Transfer-Encoding: chunked\r\n", "3e0\r\n" + std::string(992, 'a') + "\r\n10\r\n"), "413" },
        { "endless chunk extension", post("Transfer-Encoding: chunked\r\n", "1;" + std::string(400, 'a')), "400" },
        { "endless trailer", post("Transfer-Encoding: chunked\r\n", "0\r\nA: " + std::string(3000, 'a')), "431" },
        { "body above the limit", post("Content-Length: 1001\r\n", ""), "413" },
        { "header above the limit", post("X: " + std::string(3000, 'a'), ""), "431" },
    };
    for (auto const& entry : table) {
        auto peer = this->connect();
        peer.send(entry.bytes);
        auto const time = peer.receiveUntilClosed(this->loop, 500_ms);
        CHECK_TEXT(peer.closed, entry.what);
        CHECK_TEXT(time < 100_ms, entry.what);
        CHECK_TEXT(peer.received.starts_with(std::string("HTTP/1.1 ") + entry.expectedStatus), entry.what);
        CHECK_TEXT(peer.received.find("Connection: close") != std::string::npos, entry.what);
    }
    LONGS_EQUAL(0, this->requests.size());
}

// Guards against slow senders that occupy connections: the timeout counts from the first byte.
TEST(HttpServerSession, AnswersASlowRequestWithinTheTimeout)
{
    auto peer = this->connect();
    auto const start = Clock::now();
    auto nextByte = start;
    peer.receiveUntil(this->loop, 1000_ms, [&] {
        if (Clock::now() >= nextByte) {
            peer.send("G");
            nextByte += 10_ms;
        }
        return peer.received.find("408") != std::string::npos;
    });
    auto const time = Clock::now() - start;
    CHECK(time >= 140_ms);
    CHECK(time < 300_ms);
    peer.receiveUntilClosed(this->loop, 500_ms);
    CHECK(peer.closed);
}

// Guards against idle connections that are never closed.
TEST(HttpServerSession, ClosesAnIdleConnection)
{
    auto peer = this->connect();
    auto const time = peer.receiveUntilClosed(this->loop, 1000_ms);
    CHECK(peer.closed);
    CHECK(time >= 290_ms);
    CHECK(time < 500_ms);
    LONGS_EQUAL(0, this->server->connections());
}

// Guards against work that continues for a caller that has disconnected.
TEST(HttpServerSession, ReportsAHalfClosedConnectionAsDisconnected)
{
    this->answerAtOnce = false;
    auto peer = this->connect();
    peer.send(post("Content-Length: 3\r\n", "one"));
    runUntil(this->loop, 500_ms, [this] { return !this->running.empty(); });
    peer.socket.shutdownSend();
    auto const time = peer.receiveUntilClosed(this->loop, 500_ms);
    CHECK(peer.closed);
    CHECK(time < 100_ms);
    LONGS_EQUAL(1, this->disconnected);
    this->answer(this->running.front(), "late");
    LONGS_EQUAL(0, this->server->connections());
}

// Guards against processing an incomplete request.
TEST(HttpServerSession, ClosesWhenARequestEndsEarly)
{
    auto peer = this->connect();
    peer.send(post("Content-Length: 10\r\n", "short"));
    this->loop.runOnce(5_ms);
    peer.socket.shutdownSend();
    auto const time = peer.receiveUntilClosed(this->loop, 500_ms);
    CHECK(peer.closed);
    CHECK(time < 100_ms);
    LONGS_EQUAL(0, this->requests.size());
}

// Guards against processing a pipelined request although the connection closes before its answer.
TEST(HttpServerSession, AnswersOnlyTheFirstOfPipelinedRequests)
{
    auto peer = this->connect();
    peer.send(post("Content-Length: 3\r\n", "one") + post("Content-Length: 3\r\n", "two"));
    auto const time = peer.receiveUntilClosed(this->loop, 500_ms);
    CHECK(peer.closed);
    CHECK(time < 100_ms);
    LONGS_EQUAL(1, this->requests.size());
    CHECK(peer.received.find("Connection: close") != std::string::npos);
    CHECK(peer.received.ends_with("\r\n\r\none"));
}

// Guards against input that grows without bound while the first request runs.
TEST(HttpServerSession, BoundsInputWhileARequestRuns)
{
    this->answerAtOnce = false;
    auto peer = this->connect();
    peer.send(post("Content-Length: 3\r\n", "one"));
    runUntil(this->loop, 500_ms, [this] { return !this->running.empty(); });
    peer.send(std::string(1000000, 'x'));
    for (int turn = 0; turn < 20; ++turn)
        this->loop.runOnce(2_ms);
    this->answer(this->running.front(), "done");
    peer.receiveUntilText(this->loop, 500_ms, "done");
    CHECK(peer.received.find("Connection: close") != std::string::npos);
    LONGS_EQUAL(1, this->requests.size());
}

// Guards against a peer that occupies a connection by never reading its answer.
TEST(HttpServerSession, ClosesWhenTheAnswerIsNotRead)
{
    this->answerAtOnce = false;
    auto peer = this->connect();
    peer.send(post("Content-Length: 3\r\n", "one"));
    runUntil(this->loop, 500_ms, [this] { return !this->running.empty(); });
    std::string body;
    body.resize(20000000, 'x');
    // The time to copy the body counts, because the session's timer starts before it.
    auto const start = Clock::now();
    this->answer(this->running.front(), body);
    runUntil(this->loop, 2000_ms, [this] { return this->server->connections() == 0; });
    auto const time = Clock::now() - start;
    CHECK(time >= 300_ms);
    CHECK(time < 600_ms);
}

// Guards against using up the file descriptors with sessions.
TEST(HttpServerSession, RefusesConnectionsAboveTheLimit)
{
    std::vector<RawPeer> peers;
    peers.reserve(8);
    for (int count = 0; count < 8; ++count)
        peers.push_back(this->connect());
    runUntil(this->loop, 200_ms, [this] { return this->server->connections() == 8; });
    auto extra = this->connect();
    auto const time = extra.receiveUntilClosed(this->loop, 300_ms);
    CHECK(extra.closed);
    CHECK(time < 100_ms);
    CHECK(extra.received.starts_with("HTTP/1.1 503"));
    LONGS_EQUAL(8, this->server->connections());
}

// Guards against idle connections that prevent callers with requests from connecting.
TEST(HttpServerSession, NewConnectionReplacesAnIdleOne)
{
    std::vector<RawPeer> peers;
    peers.reserve(8);
    auto limits = testLimits();
    limits.session.idleTimeout = 5000_ms;
    this->server->setLimits(limits);
    for (int count = 0; count < 8; ++count)
        peers.push_back(this->connect());
    runUntil(this->loop, 200_ms, [this] { return this->server->connections() == 8; });
    runUntil(this->loop, 1100_ms, [] { return false; });
    auto extra = this->connect();
    extra.send(post("Content-Length: 3\r\n", "one"));
    extra.receiveUntilText(this->loop, 500_ms, "\r\n\r\none");
    CHECK(extra.received.ends_with("\r\n\r\none"));
    LONGS_EQUAL(8, this->server->connections());
}

// Guards against refused connections that use up the descriptors.
TEST(HttpServerSession, FloodOfConnectionsIsClosedWithoutAnAnswer)
{
    auto limits = testLimits();
    int refused = 0;
    limits.refused = [&refused] { ++refused; };
    this->server->setLimits(limits);
    std::vector<RawPeer> peers;
    peers.reserve(200);
    for (int count = 0; count < 8; ++count)
        peers.push_back(this->connect());
    runUntil(this->loop, 200_ms, [this] { return this->server->connections() == 8; });
    for (int count = 0; count < 192; ++count) {
        peers.push_back(this->connect());
        this->loop.runOnce(0_ms);
    }
    runUntil(this->loop, 100_ms, [] { return false; });
    size_t answered = 0;
    for (size_t index = 8; index < peers.size(); ++index) {
        peers[index].receive();
        CHECK(peers[index].closed);
        answered += peers[index].received.starts_with("HTTP/1.1 503");
    }
    CHECK(answered > 0);
    CHECK(answered <= 64);
    // Those without an answer are counted as well.
    LONGS_EQUAL(192, refused);
}

// Guards against a planned stop under load that resets connections in the backlog beyond one batch of accepts.
TEST(HttpServerSession, StopServesAllConnectionsInTheBacklog)
{
    auto limits = testLimits();
    limits.connections = 1000;
    this->server->setLimits(limits);
    std::vector<RawPeer> peers;
    peers.reserve(300);
    for (int count = 0; count < 300; ++count) {
        peers.push_back(this->connect());
        peers.back().send(post("Content-Length: 3\r\n", "one"));
    }
    this->server->beginStop();
    runUntil(this->loop, 300_ms, [] { return false; });
    for (auto& peer : peers) {
        peer.receive();
        CHECK(peer.received.ends_with("\r\n\r\none"));
    }
}

// Guards against buffering bodies of many callers beyond their shared budget.
TEST(HttpServerSession, StopsReadingWhileTheBudgetIsExhausted)
{
    auto limits = testLimits();
    limits.session.sizes = { 2048, 50000 };
    limits.session.budget = ByteBudget::create({ 20000, 500, 50000 });
    limits.session.receiveBytes = 2048;
    limits.session.requestTimeout = 2000_ms;
    this->server->setLimits(limits);
    std::vector<RawPeer> peers;
    std::string const body(20000, 'x');
    for (int count = 0; count < 8; ++count) {
        peers.push_back(this->connect());
        peers.back().send(post("Content-Length: 20000\r\n", body));
    }
    size_t peak = 0;
    runUntil(this->loop, 2000_ms, [&] {
        peak = std::max(peak, limits.session.budget->usedBytes());
        for (auto& request : this->requests)
            request.memory.reset();
        return this->requests.size() == 8;
    });
    // Callers that block each other at the budget are still served one after the other.
    LONGS_EQUAL(8, this->requests.size());
    CHECK(peak <= 20000 + 20000 + 8 * 2048);
    this->requests.clear();
}

// Guards against a planned stop that drops a request in transit or a connection in the backlog.
TEST(HttpServerSession, ServesRequestsThatArriveDuringTheStop)
{
    auto idle = this->connect();
    runUntil(this->loop, 200_ms, [this] { return this->server->connections() == 1; });
    auto waiting = this->connect();
    this->server->beginStop();
    idle.send(post("Content-Length: 3\r\n", "one"));
    waiting.send(post("Content-Length: 3\r\n", "two"));
    idle.receiveUntilClosed(this->loop, 500_ms);
    waiting.receiveUntilClosed(this->loop, 500_ms);
    CHECK(idle.received.ends_with("\r\n\r\none"));
    CHECK(waiting.received.ends_with("\r\n\r\ntwo"));
    CHECK(idle.received.find("Connection: close") != std::string::npos);
}

// Guards against callers that stay on a node until its listener closes.
TEST(HttpServerSession, EndsKeepAliveBeforeTheStop)
{
    auto peer = this->connect();
    runUntil(this->loop, 200_ms, [this] { return this->server->connections() == 1; });
    this->server->endKeepAlive();
    peer.send(post("Content-Length: 3\r\n", "one"));
    peer.receiveUntilClosed(this->loop, 500_ms);
    CHECK(peer.received.ends_with("\r\n\r\none"));
    CHECK(peer.received.find("Connection: close") != std::string::npos);
}

// Guards against a planned stop that aborts a running request.
TEST(HttpServerSession, StopsAfterTheRunningRequest)
{
    this->answerAtOnce = false;
    auto idle = this->connect();
    auto peer = this->connect();
    peer.send(post("Content-Length: 3\r\n", "one"));
    runUntil(this->loop, 500_ms, [this] { return !this->running.empty(); });
    this->server->beginStop();
    idle.receiveUntilClosed(this->loop, 200_ms);
    CHECK(idle.closed);
    this->answer(this->running.front(), "done");
    peer.receiveUntilClosed(this->loop, 500_ms);
    CHECK(peer.received.ends_with("\r\n\r\ndone"));
    CHECK(peer.received.find("Connection: close") != std::string::npos);
}
