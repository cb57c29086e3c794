#pragma once

#include "Net/HttpServerSession.h"
#include "Net/TcpListener.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace Toucan {

/// Listener with a bounded number of HTTP sessions. A connection beyond the bound takes the place of the one that has
/// been idle for longest; when none is, it is answered 503 and closed.
class HttpServer {
public:
    struct Limits {
        HttpServerLimits session;
        size_t connections { 1000 };
        /// Called for each connection that is refused, whether it gets an answer or not.
        std::function<void()> refused {};
    };

    /// Throws as TcpListener does. `hooks.closed` must not be set.
    HttpServer(EventLoop& loop, std::string const& address, Limits limits, HttpServerSession::Hooks hooks);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    Poco::Net::SocketAddress address() const { return this->listener.address(); }
    size_t connections() const { return this->sessions.size(); }
    /// Applies to connections that are accepted from now on.
    void setLimits(Limits const& limits) { this->limits = limits; }
    /// Each connection is closed after its next answer, so that peers move elsewhere before beginStop().
    void endKeepAlive();
    /// Accepts no more connections, closes idle ones, and the others after their running request.
    void beginStop();

private:
    void accept(Poco::Net::StreamSocket const& socket);
    /// Closes the session that has been idle for longest. Returns whether there was one.
    bool makeRoom();
    void refuse(Poco::Net::StreamSocket const& socket);

    EventLoop& loop;
    Limits limits;
    HttpServerSession::Hooks hooks;
    bool keepAliveEnded { false };
    /// Connections that were answered 503 since refusalsStart.
    uint32_t refusals { 0 };
    Milliseconds refusalsStart;
    std::unordered_set<HttpServerSession::Pointer> sessions;
    TcpListener listener;
};

} // namespace Toucan
