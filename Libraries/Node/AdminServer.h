#pragma once

#include "Node/EngineThread.h"
#include "Node/JsonRpcServer.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Toucan {

/// The operators' HTTP port with two threads of its own: /health, /ready, /metrics (Prometheus) and POST /rpc
/// (JSON-RPC 2.0).
class AdminServer {
public:
    struct Hooks {
        /// Whether the node may receive new requests.
        std::function<bool()> ready;
        /// Counters and gauges by metric name, in addition to those of the engine's view.
        std::function<std::map<std::string, double>()> counters;
    };

    /// Throws Error of kind InvalidSettings when the address cannot be bound.
    AdminServer(std::string const& address, EngineThread& engine, Hooks hooks);
    ~AdminServer();
    AdminServer(AdminServer const&) = delete;
    AdminServer& operator=(AdminServer const&) = delete;

    void start();
    void stop();
    Poco::Net::SocketAddress address() const { return this->server->socket().address(); }

    struct Reply {
        int status { 200 };
        std::string contentType { "text/plain" };
        std::string body;
    };
    /// Reply to one request; for the request handlers.
    Reply reply(std::string const& method, std::string const& path, std::string const& body);

private:
    Reply health() const;
    Reply readiness() const;
    Reply metrics();
    Json::Value requestFromEngine(AdminRequest::Kind kind);

    EngineThread& engine;
    Hooks hooks;
    JsonRpcServer rpc;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

} // namespace Toucan
