#pragma once

#include "Engine/BurnTracker.h"
#include "Engine/CommandRouter.h"
#include "Engine/DigestExchange.h"
#include "Engine/NodeEngine.h"
#include "Engine/PartRouter.h"
#include "Engine/RequestMetrics.h"

#include <deque>

namespace Toucan {

/// Owns the components of a NodeEngine and connects them through their hooks. NodeEngine calls finishEvent() after each
/// event.
class NodeCore {
public:
    NodeCore(NodeEngine::Hooks engineHooks, NodeEngine::Identity nodeIdentity, std::vector<Peer> const& seeds,
        Milliseconds now);

    void onCallerRequest(CallerRequest&& request, Milliseconds now);
    void onFrame(Json::Value const& frame, Milliseconds now);
    void onStoreReply(StoreReply&& reply, Milliseconds now);
    void onPeerConnectionLost(std::string const& peer, Milliseconds now);
    void beginStop(Milliseconds now);
    bool finished() const;
    bool ready(Milliseconds now) const;
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;
    Json::Value describe(Milliseconds now) const;
    /// Runs the calls that hooks deferred to the end of the event, then sends the collected frames.
    void finishEvent(Milliseconds now);

    NodeEngine::Hooks hooks;
    NodeEngine::Identity identity;
    Milliseconds currentTime;
    bool stopping { false };
    Milliseconds stopStarted;
    /// Calls that run at the end of the event, because a hook may call back only into components that defer their hook
    /// calls with an Outbox.
    std::deque<std::function<void()>> deferred;
    Coordinator coordinator;
    Dispatcher dispatcher;
    KeyOwner keyOwner;
    Membership membership;
    ConfigurationState configurationState;
    PartRouter partRouter;
    CommandRouter commandRouter;
    DigestExchange digestExchange;
    BurnTracker burnTracker;
    RequestMetrics requestMetrics;

private:
    /// Probe that this node sends to `subject` on behalf of `requester`, with the requester's probe number.
    struct IndirectProbe {
        std::string requester;
        std::string subject;
        uint64_t number { 0 };
        Milliseconds sent;
    };

    Coordinator::Hooks coordinatorHooks();
    Dispatcher::Hooks dispatcherHooks();
    KeyOwner::Hooks keyOwnerHooks();
    Membership::Hooks membershipHooks();
    ConfigurationState::Hooks configurationHooks();
    PartRouter::Hooks partRouterHooks();
    CommandRouter::Hooks commandRouterHooks();
    DigestExchange::Hooks digestHooks();

    void sendFrame(std::string const& peer, Json::Value&& frame);
    void deliverResult(std::string const& sender, PartResult&& result);
    void submitParts(std::string const& sender, std::vector<PartRequest>&& parts, Milliseconds now);
    void refuse(std::string const& sender, PartRequest const& part, PartStatus status);
    /// `sender` has the form "node|correlation", as passed to KeyOwner::submit().
    void replyCommandResult(std::string const& sender, CommandResult&& result);
    void install(ConfigurationPointer const& configuration);
    void answer(CallerAnswer&& answer);
    void rejectRequest(CallerRequest const& request, int status, Problem&& problem);
    std::string likelyOwner(std::string_view key) const;
    void onProbe(std::string const& from, Json::Value const& frame, Milliseconds now);
    void onProbeReply(std::string const& from, Json::Value const& frame, Milliseconds now);
    void dispatchFrame(std::string const& kind, std::string const& from, Json::Value const& frame, Milliseconds now);
    void onVmList(std::vector<VmEntry> const& vms, Milliseconds now);
    void onOwnershipWritten(StoreReply&& reply, Milliseconds now);
    void onTargetLeaving(std::string const& target);
    /// Whether the owners of all key ranges are known, or 3 s have passed since the first configuration. Commands of a
    /// range without a known owner would not be decided.
    bool isOwnershipReady(Milliseconds now) const;
    Peer selfAsPeer() const;
    void readPlatform(Milliseconds now);
    void requestRead(StoreRequest::Kind kind);

    bool watching { false };
    std::optional<Milliseconds> configuredSince;
    bool hasReadOwnership { false };
    bool hasReadVmList { false };
    Milliseconds nextOwnershipRead;
    Milliseconds nextVmListRead;
    /// Results by peer; each peer's results are sent as one group at the end of an event.
    std::map<std::string, std::vector<PartResult>> outgoingResults;
    std::map<uint64_t, IndirectProbe> indirectProbes;
    uint64_t lastIndirectProbe { 0 };
    uint64_t invalidFrames { 0 };
    uint64_t unknownFrames { 0 };
};

} // namespace Toucan
