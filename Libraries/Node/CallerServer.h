#pragma once

#include "Engine/Messages.h"
#include "Net/HttpServer.h"
#include "Node/CallerMessages.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Toucan {

/// The callers' HTTP port: checks requests, passes them to the engine and writes its answers.
class CallerServer {
public:
    struct Hooks {
        /// Returns false when the engine accepts no more requests; the request is then refused.
        std::function<bool(CallerRequest&&)> submit;
        std::function<void(RequestHandle)> disconnected;
    };

    /// Throws as TcpListener does. `requestIdPrefix` makes generated request ids unique over nodes and restarts.
    CallerServer(EventLoop& loop, std::string const& address, std::string requestIdPrefix, Hooks hooks);

    void answer(CallerAnswer const& answer);
    /// Each answer closes its connection from now on, so that callers move to other nodes.
    void endKeepAlive();
    /// Accepts no more connections; running requests are answered.
    void beginStop();

    Poco::Net::SocketAddress address() const { return this->server.address(); }
    size_t connections() const { return this->server.connections(); }
    size_t running() const { return this->sessions.size(); }
    uint64_t received() const { return this->lastHandle; }
    uint64_t refused() const { return this->refusedCount; }

private:
    HttpServerSession::Hooks sessionHooks();
    void onRequest(HttpServerSession::Pointer const& session, HttpServerRequest&& request);
    void onDisconnected(HttpServerSession::Pointer const& session);
    void refuse(HttpServerSession::Pointer const& session, RefusedRequest const& refused);

    EventLoop& loop;
    std::string requestIdPrefix;
    Hooks hooks;
    RequestHandle lastHandle { 0 };
    uint64_t refusedCount { 0 };
    std::unordered_map<RequestHandle, HttpServerSession::Pointer> sessions;
    std::unordered_map<HttpServerSession*, RequestHandle> handles;
    HttpServer server;
};

} // namespace Toucan
