#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Messages.h"

#include <functional>
#include <memory>
#include <string>

namespace Toucan {

/// Call that the dispatcher passes to the network layer.
struct TargetCall {
    PartRequest part;
    std::string address;
    /// Connections that this node may hold to the target.
    uint32_t connectionShare { 1 };
};

/// Sends parts to targets. Only the dispatchers of a target, a few nodes, hold connections to it; entry nodes send the
/// parts to a dispatcher. Has one priority queue, slot limit and connection share for each target of this node. Has no
/// I/O; not thread-safe.
class Dispatcher {
public:
    struct Hooks {
        std::function<void(TargetCall const&)> send;
        /// Sends the target a request to cancel a running attempt.
        std::function<void(AttemptId const&, std::string const& target)> cancel;
        /// Result for the entry node that sent the part.
        std::function<void(std::string const& sender, PartResult&&)> result;
        /// Starts a status poll; the answer comes back through onTargetStatus().
        std::function<void(std::string const& target, std::string const& address)> pollStatus;
        std::function<double()> random;
        /// Connections that this node may keep to an address from now on; 0 closes idle ones at once and busy ones
        /// after their exchange. May be empty.
        std::function<void(std::string const& address, uint32_t connections)> limitConnections;
    };

    Dispatcher(Hooks hooks, std::string nodeName);
    ~Dispatcher();

    void setConfiguration(ConfigurationPointer configuration, Milliseconds now);
    /// Whether the candidate does not dial the address yet, because previous dispatchers may still hold connections.
    bool isDialDelayed(std::string const& address, std::string const& node, Milliseconds now) const;
    /// `sender` is the name of the entry node, or this node's own name.
    void submit(std::string const& sender, PartRequest&& part, Milliseconds now);
    void cancel(AttemptId const& attempt, Milliseconds now);
    void onTargetAnswer(TargetAnswer&& answer, Milliseconds now);
    void onTargetStatus(std::string const& target, TargetState state, TargetLoad load, Milliseconds now);
    /// Drops queued idempotent parts of an entry node whose connection was lost, and cancels running ones.
    void dropPartsFrom(std::string const& sender, Milliseconds now);
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;
    /// Number of parts that are queued here or running at a target.
    size_t running() const;
    Json::Value describe(Milliseconds now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
