#pragma once

#include "Gateway/NodeCounter.h"
#include "Gateway/ObservationFeed.h"
#include "Gateway/RegistrySync.h"
#include "GatewayNode/RelayCodec.h"
#include "Net/HttpServer.h"
#include "Quota/QuotaMessages.h"
#include "Succession/IssuingShare.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace Toucan {

/// Serves the registry's entries and changes to followers. A request for changes is held until there are some, or for
/// its wait, at most maximumWait (long polling).
class RelayServer {
public:
    static constexpr auto changesPath = "/v1/registry/changes";
    static constexpr auto entriesPath = "/v1/registry/entries";
    static constexpr auto observationsPath = "/v1/targets/observations";
    /// Reports of other relays, writeNodeReport().
    static constexpr auto nodesPath = "/v1/nodes";
    /// Whether this node runs, IssuingShare::answerProbe(): 200, else 503.
    static constexpr auto statusPath = "/v1/relay/status";
    /// Query parameter of such a request: whether the registry has answered the asking node recently.
    static constexpr auto connectedParameter = "connected";
    /// Requests for tokens of limits, writeQuotaRequest().
    static constexpr auto quotaPath = "/v1/quota";
    static constexpr Milliseconds maximumWait { 800 };
    /// Query parameter of a request for changes: the name of the node, which is counted.
    static constexpr auto nodeParameter = "node";
    /// Query parameters of a request for changes: the address of the node for other nodes, the term of the roster that
    /// it holds, and RelayRequest::settledFor in milliseconds.
    static constexpr auto addressParameter = "address";
    static constexpr auto termParameter = "term";
    static constexpr auto settledParameter = "settled";
    /// Query parameter of a report that a relay sends; it is not passed on to other relays.
    static constexpr auto relayedParameter = "relayed";

    /// Query parameters of a request for changes: the era of the revision (absent: 0), and the version of the
    /// follower's configuration (absent: none is wanted besides the changes).
    static constexpr auto eraParameter = "era";
    static constexpr auto configurationParameter = "configuration";

    struct Hooks {
        /// Rewrites entries for compact answers.
        RegistryCompactor compact;
        /// Observations that a follower reported, for the other relays.
        std::function<void(std::span<TargetObservation const>)> reported;
        /// Answers a request for tokens, at once or later; returns false, without a call of `done`, while this node
        /// issues none. May be empty.
        std::function<bool(QuotaRequest const&, std::function<void(QuotaAnswer&&)> done)> quota {};
        /// A node has asked for changes; its address is empty when it states none. May be empty.
        std::function<void(IssuingShare::Asking const&, std::string const& address)> followed {};
        /// Another relay has heard these nodes. May be empty.
        std::function<void(std::span<uint32_t const>)> heard {};
        /// The answer to statusPath.
        std::function<bool(IssuingShare::Asker)> answerProbe {};
    };

    /// Query parameter of a request for a compact answer.
    static constexpr auto compactParameter = "compact";

    /// Throws as TcpListener does. `sync` must outlive the server.
    RelayServer(EventLoop& loop, std::string const& address, RegistrySync& sync, Hooks hooks);
    ~RelayServer();
    RelayServer(RelayServer const&) = delete;
    RelayServer& operator=(RelayServer const&) = delete;

    /// Adds observations to the feed and schedules their sending to the followers.
    void publish(std::span<TargetObservation const> observations);
    /// The nodes that follow this relay, and those that other relays have reported.
    NodeCounter& nodes() { return this->nodeCounter; }

private:
    struct WaitingRequest {
        uint64_t number { 0 };
        EventLoop::Timer timer;
        std::function<void()> answerNow;
    };

    /// Encoding of an answer.
    enum class BodyFormat {
        Json,
        Compact,
    };
    /// Compressed entries of one answer, cached because many followers send the same request at nearly the same time.
    struct CompressedEntries {
        /// Request for changes; empty for all entries.
        std::optional<RelayRequest> request;
        RegistryPosition position;
        /// Version of the relay's configuration, which can change without the position.
        uint64_t configuration { 0 };
        std::string bytes;
    };

    HttpServerSession::Hooks createSessionHooks();
    void onRequest(HttpServerSession::Pointer const& session, HttpServerRequest const& request);
    void onDisconnected(HttpServerSession::Pointer const& session);
    void answerChanges(HttpServerSession::Pointer const& session, RelayRequest request, BodyFormat format);
    enum class ReportOrigin {
        Follower,
        Relay,
    };
    void handleReport(HttpServerSession::Pointer const& session, HttpServerRequest const& request, ReportOrigin origin);
    void handleQuota(HttpServerSession::Pointer const& session, HttpServerRequest const& request);
    void handleNodeReport(HttpServerSession::Pointer const& session, HttpServerRequest const& request);
    RelayUpdate updateFor(RelayRequest const& request) const;
    /// `period` is the time until the answers, at least.
    void scheduleFlush(Milliseconds period);
    Milliseconds usualFlushPeriod() const;
    /// Answers all waiting requests, so that their followers receive the new observations.
    void flush();
    /// `request` is empty when all entries were requested.
    void answer(HttpServerSession::Pointer const& session, RelayUpdate&& update, BodyFormat format,
        std::optional<RelayRequest> const& request);
    std::string const& compressedEntriesFor(RelayUpdate const& update, std::optional<RelayRequest> const& request);
    void stopWaiting(HttpServerSession::Pointer const& session);

    EventLoop& loop;
    RegistrySync& sync;
    Hooks hooks;
    ObservationFeed feed;
    NodeCounter nodeCounter;
    std::deque<CompressedEntries> compressedEntries;
    bool flushPending { false };
    EventLoop::Timer flushTimer;
    std::unordered_map<HttpServerSession*, WaitingRequest> waiting;
    /// Sessions on which tokens were requested; they are not counted as followers.
    std::unordered_map<HttpServerSession*, std::weak_ptr<HttpServerSession>> quotaSessions;
    HttpServer server;
};

} // namespace Toucan
