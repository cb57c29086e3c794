#pragma once

#include "Net/HttpServerSession.h"
#include "Net/TcpListener.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace Toucan {

/// Listener with a limited number of HTTP sessions. A connection beyond the limit replaces the session that has been
/// idle for longest, if for more than a second; otherwise the connection is answered with 503 and closed. After 64
/// refusals within a second, further connections are closed without a response.
class HttpServer {
public:
    struct Limits {
        HttpServerLimits session;
        /// Largest number of open connections.
        size_t connections { 1000 };
        /// Called for each connection that is refused, with or without a response.
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
    /// Closes each connection after its next response, so that clients move to other nodes before beginStop().
    void endKeepAlive();
    /// Accepts no more connections; closes idle ones after HttpServerLimits::stopGrace and the others after their
    /// running request.
    void beginStop();

private:
    void accept(Poco::Net::StreamSocket const& socket);
    /// Closes the session that has been idle for longest. Returns whether there was one.
    bool closeLongestIdleSession();
    void refuse(Poco::Net::StreamSocket const& socket);

    EventLoop& loop;
    Limits limits;
    HttpServerSession::Hooks hooks;
    bool keepAliveEnded { false };
    /// Connections that were refused since refusalPeriodStart.
    uint32_t refusals { 0 };
    Milliseconds refusalPeriodStart;
    std::unordered_set<HttpServerSession::Pointer> sessions;
    TcpListener listener;
};

} // namespace Toucan
