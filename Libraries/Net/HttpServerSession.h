#pragma once

#include "Base/ByteBudget.h"
#include "Net/HttpMessageReader.h"
#include "Net/SocketChannel.h"

#include <Poco/Net/HTTPResponse.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

struct HttpServerLimits {
    HttpSizeLimits sizes;
    /// Time from the first byte of a request to its last.
    Milliseconds requestTimeout { 10000 };
    /// Time without a request on a kept connection.
    Milliseconds idleTimeout { 60000 };
    /// Time for the peer to take a response.
    Milliseconds responseTimeout { 10000 };
    /// Time in which a connection without a request is still read after closeWhenIdle(), because a request may be on
    /// its way.
    Milliseconds stopGrace { 500 };
    /// Room for requests that are read and answers that are sent; null for no common bound.
    std::shared_ptr<ByteBudget> budget {};
    /// Bytes that a connection receives in one turn of the loop; see SocketChannel.
    size_t receiveBytes { SocketChannel::usualReceiveBytes };
};

struct HttpServerRequest {
    Poco::Net::HTTPRequest head;
    std::string body;
    /// Whether it is the first request of its connection.
    bool first { true };
    /// Round-trip time to the peer, when known.
    std::optional<Milliseconds> roundTripTime;
    /// Holds the room of the body in the budget; may be null.
    std::shared_ptr<ByteBudget::Holder> memory;
};

/// Error that the session answers by itself, for a hook that writes its body.
struct HttpError {
    Poco::Net::HTTPResponse::HTTPStatus status;
    std::string detail;
    std::string remedy;
};

/// Server side of one HTTP/1.1 connection (RFC 9112). It handles one request at a time. A request that is sent before
/// the previous answer has ended is not run: the answer closes the connection, so that the peer repeats the request. A
/// peer that closes its side while a request runs counts as gone.
class HttpServerSession : public std::enable_shared_from_this<HttpServerSession> {
public:
    using Pointer = std::shared_ptr<HttpServerSession>;
    struct Hooks {
        /// A whole request; respond() must be called once.
        std::function<void(Pointer const&, HttpServerRequest&&)> request;
        /// The peer has gone while its request was running; respond() then does nothing.
        std::function<void(Pointer const&)> disconnected;
        std::function<void(Pointer const&)> closed;
        /// Fills in the body of an error answer; plain text when not set.
        std::function<void(HttpError const&, Poco::Net::HTTPResponse&, std::string& body)> writeErrorBody;
    };

    static Pointer start(
        EventLoop& loop, Poco::Net::StreamSocket const& socket, HttpServerLimits const& limits, Hooks hooks);

    /// Answers the running request. Sets the length and the connection header of `head`. `memory` is kept until the
    /// peer has taken the answer.
    void respond(Poco::Net::HTTPResponse& head, std::string body, std::shared_ptr<void const> memory = {});
    /// Answers with a fault and closes the connection.
    void refuse(HttpError const& fault);
    /// Closes the connection after the next answer.
    void endKeepAlive() { this->closeRequested = true; }
    /// Closes after the running request, or after the grace when there is none.
    void closeWhenIdle();
    void close();
    bool isRunning() const { return this->state == State::Running; }
    /// Time since which no request has been read or answered; empty while there is one.
    std::optional<Milliseconds> idleSince() const;

private:
    enum class State {
        Idle,
        Reading,
        Running,
        Responding,
        Closed,
    };

    HttpServerSession(EventLoop& loop, HttpServerLimits const& limits, Hooks hooks);

    void onReceived();
    void readRequest();
    void waitForRoom();
    void sendContinue();
    void onDrained();
    void onEnded(SocketChannel::End end);
    void onRequestTimeout();
    void sendResponse(Poco::Net::HTTPResponse& head, std::string body, std::shared_ptr<void const> memory = {});
    void enterIdle();
    void finish();
    void setTimer(Milliseconds delay, void (HttpServerSession::*task)());

    EventLoop& loop;
    HttpServerLimits limits;
    std::shared_ptr<Hooks> hooks;
    std::shared_ptr<SocketChannel> channel;
    HttpMessageReader reader;
    std::shared_ptr<ByteBudget::Holder> memory;
    Milliseconds idleStart;
    EventLoop::Timer timer;
    State state { State::Idle };
    bool keepAlive { true };
    bool closeRequested { false };
    bool continueSent { false };
    bool hasServed { false };
};

} // namespace Toucan
