#pragma once

#include "Gateway/ObservationFeed.h"
#include "Gateway/RegistrySync.h"
#include "GatewayNode/RelayCodec.h"
#include "Net/HttpServer.h"

#include <deque>
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
    /// Query parameter of a report that another relay passes on.
    static constexpr auto relayedParameter = "relayed";

    struct Hooks {
        /// Rewrites entries for compact answers.
        RegistryCompactor compact;
        /// Observations that a follower reported, for the other relays.
        std::function<void(std::span<TargetObservation const>)> reported;
    };

    /// Query parameter of a question that asks for a compact answer.
    static constexpr auto compactParameter = "compact";

    /// Throws as TcpListener does. `sync` must outlive the server.
    RelayServer(EventLoop& loop, std::string const& address, RegistrySync& sync, Hooks hooks);

    /// Passes observations on to the followers, after a moment in which more may come.
    void publish(std::span<TargetObservation const> observations);

private:
    struct Waiting {
        uint64_t number { 0 };
        EventLoop::Timer timer;
        std::function<void()> answerNow;
    };

    /// Form in which a follower reads an answer.
    enum class Form {
        Json,
        Compact,
    };
    /// Compressed entries of one answer; followers ask the same within moments of each other.
    struct CompressedEntries {
        /// Revision of the question; empty for all entries.
        std::optional<uint64_t> after;
        uint64_t revision { 0 };
        std::string bytes;
    };

    HttpServerSession::Hooks createSessionHooks();
    void onRequest(HttpServerSession::Pointer const& session, HttpServerRequest const& request);
    void onGone(HttpServerSession::Pointer const& session);
    void answerChanges(HttpServerSession::Pointer const& session, RelayQuestion question, Form form);
    enum class ReportOrigin {
        Follower,
        Relay,
    };
    void takeReport(HttpServerSession::Pointer const& session, HttpServerRequest const& request, ReportOrigin origin);
    RelayUpdate newsFor(RelayQuestion const& question) const;
    void flushSoon();
    void flush();
    /// `after` is the revision of the question; empty when all entries were asked for.
    void answer(
        HttpServerSession::Pointer const& session, RelayUpdate&& news, Form form, std::optional<uint64_t> after);
    std::string const& compressed(RelayUpdate const& news, std::optional<uint64_t> after);
    void stopWaiting(HttpServerSession::Pointer const& session);

    EventLoop& loop;
    RegistrySync& sync;
    Hooks hooks;
    ObservationFeed feed;
    std::deque<CompressedEntries> compressedEntries;
    bool flushPending { false };
    std::unordered_map<HttpServerSession*, Waiting> waiting;
    HttpServer server;
};

} // namespace Toucan
