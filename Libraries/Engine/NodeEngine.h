#pragma once

#include "Engine/ConfigurationState.h"
#include "Engine/Coordinator.h"
#include "Engine/Dispatcher.h"
#include "Engine/KeyOwner.h"
#include "Engine/Membership.h"
#include "Engine/Messages.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// Request of an engine to the control thread, which accesses the platform.
struct StoreRequest {
    enum class Kind {
        /// Reads the root and the parts whose hashes are not in `knownHashes`.
        ReadConfiguration,
        /// Reads all records under ownership/.
        ReadOwnership,
        /// Compare-and-swap of `record` at `expectedRevision`.
        WriteOwnership,
        /// Reads the list of VMs.
        ReadVmList,
    } kind { Kind::ReadConfiguration };
    std::vector<std::string> knownHashes;
    OwnershipRecord record;
    uint64_t expectedRevision { 0 };
};

/// Reply of the control thread, or an event of the watch thread.
struct StoreReply {
    StoreRequest::Kind kind { StoreRequest::Kind::ReadConfiguration };
    /// False when the store or the VM list could not be reached.
    bool reachable { false };
    std::optional<ConfigurationUpdate> update;
    std::vector<OwnershipRecord> records;
    uint32_t range { 0 };
    KeyOwner::WriteResult writeResult { KeyOwner::WriteResult::Unknown };
    std::optional<OwnershipRecord> current;
    std::vector<VmEntry> vms;
};

class NodeCore;

/// Decision logic of one node: connects coordinator, dispatcher, key owner, membership and configuration state with
/// each other and with the hooks. Has no I/O; used by the engine thread only.
class NodeEngine {
public:
    struct Hooks {
        /// Sends a frame to a peer, and connects to it first when there is no connection. Never blocks.
        std::function<void(std::string const& peer, std::string const& address, Json::Value&& frame)> sendFrame;
        /// Sends a part to a target; ends with onTargetAnswer().
        std::function<void(TargetCall const&)> callTarget;
        std::function<void(AttemptId const&, std::string const& target)> cancelTargetCall;
        /// Requests GET /v1/status of a target; ends with onTargetStatus().
        std::function<void(std::string const& target, std::string const& address)> pollTarget;
        /// Connections that may be kept to a target's address from now on; see Dispatcher::Hooks. May be empty.
        std::function<void(std::string const& address, uint32_t connections)> limitConnections;
        std::function<void(CallerAnswer&&)> answerCaller;
        std::function<void(StoreRequest&&)> requestStore;
        std::function<void(bool watching)> setWatching;
        /// Uniformly distributed in [0, 1).
        std::function<double()> random;
        std::function<Milliseconds()> wallClock;
    };
    struct Identity {
        std::string name;
        std::string failureDomain;
        /// Own peer address that other nodes dial.
        std::string peerAddress;
        /// Wall-clock milliseconds at the start of the process.
        uint64_t incarnation { 0 };
    };

    NodeEngine(Hooks hooks, Identity identity, std::vector<Peer> const& seeds, Milliseconds now);
    ~NodeEngine();

    void onCallerRequest(CallerRequest&& request, Milliseconds now);
    void onCallerDisconnected(RequestHandle handle, Milliseconds now);
    void onFrame(Json::Value const& frame, Milliseconds now);
    /// The connection to or from a peer was lost.
    void onPeerConnectionLost(std::string const& peer, Milliseconds now);
    void onTargetAnswer(TargetAnswer&& answer, Milliseconds now);
    void onTargetStatus(std::string const& target, TargetState state, TargetLoad load, Milliseconds now);
    void onStoreReply(StoreReply&& reply, Milliseconds now);
    /// Begins the planned stop after the listener was closed; finished() returns true when the process may exit.
    void beginStop(Milliseconds now);
    bool finished() const;
    bool ready(Milliseconds now) const;
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;
    /// State of this node for operators and metrics; JSON object, shape in docs/OPERATORS.md.
    Json::Value describe(Milliseconds now) const;
    /// Good and total requests by service and time window, for the error-budget burn report.
    Json::Value describeBurn(Milliseconds now) const;

private:
    std::unique_ptr<NodeCore> core;
};

} // namespace Toucan
