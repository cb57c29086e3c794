#pragma once

#include "Gateway/ObservationFeed.h"
#include "Gateway/RegistrySync.h"
#include "Net/HttpServer.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace Toucan {

/// Tells other nodes what this one knows of the registry. A question for changes is held until there are some, or for
/// longestWait.
class RelayServer {
public:
    static constexpr auto changesPath = "/v1/registry/changes";
    static constexpr auto entriesPath = "/v1/registry/entries";
    static constexpr auto observationsPath = "/v1/targets/observations";
    static constexpr Milliseconds longestWait { 800 };

    /// Throws as TcpListener does. `sync` must outlive the server.
    RelayServer(EventLoop& loop, std::string const& address, RegistrySync& sync);

    /// Passes observations on to the followers, after a moment in which more may come.
    void publish(std::span<TargetObservation const> observations);

private:
    struct Waiting {
        uint64_t number { 0 };
        EventLoop::Timer timer;
        std::function<void()> answerNow;
    };

    HttpServerSession::Hooks createHooks();
    void onRequest(HttpServerSession::Pointer const& session, HttpServerRequest const& request);
    void onGone(HttpServerSession::Pointer const& session);
    void answerChanges(HttpServerSession::Pointer const& session, RelayQuestion question);
    void takeReport(HttpServerSession::Pointer const& session, HttpServerRequest const& request);
    RelayedNews newsFor(RelayQuestion const& question) const;
    void flushSoon();
    void flush();
    void answer(HttpServerSession::Pointer const& session, RelayedNews&& news);
    void stopWaiting(HttpServerSession::Pointer const& session);

    EventLoop& loop;
    RegistrySync& sync;
    ObservationFeed feed;
    bool flushPending { false };
    std::unordered_map<HttpServerSession*, Waiting> waiting;
    HttpServer server;
};

} // namespace Toucan
