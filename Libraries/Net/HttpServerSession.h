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
    /// Time without a request after which a connection is closed.
    Milliseconds idleTimeout { 60000 };
    /// Time limit for sending a response.
    Milliseconds responseTimeout { 10000 };
    /// Time for which an idle connection is still read after closeWhenIdle(), because a request may be in transit.
    Milliseconds stopGrace { 500 };
    /// Byte budget shared by requests being read and responses being sent; null for no shared limit.
    std::shared_ptr<ByteBudget> budget {};
    /// Bytes that a connection receives per loop turn; see SocketChannel.
    size_t receiveBytes { SocketChannel::defaultReceiveBytes };
};

struct HttpServerRequest {
    Poco::Net::HTTPRequest head;
    std::string body;
    bool firstOnConnection { true };
    /// Round-trip time to the peer, when known.
    std::optional<Milliseconds> roundTripTime;
    /// Accounts for the body in the budget; may be null.
    std::shared_ptr<ByteBudget::Holder> memory;
};

/// Error that the session answers itself; passed to the hook that writes the body.
struct HttpError {
    Poco::Net::HTTPResponse::HTTPStatus status;
    std::string detail;
    std::string remedy;
};

/// Server side of one HTTP/1.1 connection (RFC 9112). It handles one request at a time. A request that arrives before
/// the previous response was sent is not processed: the connection is closed after that response, so that the peer
/// repeats the request. A peer that closes its sending side while a request runs counts as disconnected.
class HttpServerSession : public std::enable_shared_from_this<HttpServerSession> {
public:
    using Pointer = std::shared_ptr<HttpServerSession>;
    struct Hooks {
        /// A complete request was read; respond() must be called once.
        std::function<void(Pointer const&, HttpServerRequest&&)> request;
        /// The peer disconnected while its request was running; respond() then does nothing.
        std::function<void(Pointer const&)> disconnected;
        std::function<void(Pointer const&)> closed;
        /// Writes the body of an error response; plain text when not set.
        std::function<void(HttpError const&, Poco::Net::HTTPResponse&, std::string& body)> writeErrorBody;
    };

    static Pointer start(
        EventLoop& loop, Poco::Net::StreamSocket const& socket, HttpServerLimits const& limits, Hooks hooks);

    /// Responds to the running request. Sets Content-Length and Connection in `head`. The body is not sent in response
    /// to HEAD or with status 204 or 304 (RFC 9112, section 6.3); a head without a body in response to HEAD keeps its
    /// own Content-Length. `memory` is held until the response was given to the kernel.
    void respond(Poco::Net::HTTPResponse& head, std::string body, std::shared_ptr<void const> memory = {});
    /// Responds with an error and closes the connection.
    void refuse(HttpError const& error);
    /// Closes the connection after the next response.
    void endKeepAlive() { this->closeRequested = true; }
    /// Closes after the running request, or after stopGrace when there is none.
    void closeWhenIdle();
    void close();
    bool isRunning() const { return this->state == State::Running; }
    /// Time at which the session became idle; empty while a request is being read or answered.
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
    void accountForInput();
    void sendContinue();
    void onDrained();
    void onEnded(SocketChannel::End end);
    void onRequestTimeout();
    /// Whether the request that is answered has the method HEAD, also when its head is incomplete or invalid.
    bool answersHead();
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
