#pragma once

#include "Engine/Dispatcher.h"
#include "Engine/Messages.h"

#include <json/value.h>
#include <string>
#include <variant>

namespace Toucan {

struct CallerDisconnected {
    RequestHandle handle { 0 };
};
struct FrameReceived {
    Json::Value frame;
};
struct PeerConnectionLost {
    std::string peer;
};
struct TargetStatusReport {
    std::string target;
    TargetState state { TargetState::Serving };
    TargetLoad load;
};

/// Events from the network thread to the engine thread.
using EngineEvent = std::variant<std::monostate, CallerRequest, CallerDisconnected, FrameReceived, PeerConnectionLost,
    TargetAnswer, TargetStatusReport>;

struct FrameToSend {
    std::string peer;
    std::string address;
    Json::Value frame;
};
struct CancelTargetCall {
    AttemptId attempt;
    std::string target;
};
struct PollTarget {
    std::string target;
    std::string address;
};

/// Connection limit of an address; 0 when this node is no longer the dispatcher of a target there.
struct LimitTargetConnections {
    std::string address;
    uint32_t connections { 0 };
};

/// Tasks from the engine thread to the network thread.
using NetworkTask = std::variant<std::monostate, FrameToSend, TargetCall, CancelTargetCall, PollTarget,
    LimitTargetConnections, CallerAnswer>;

} // namespace Toucan
