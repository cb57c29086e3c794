#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Messages.h"

#include <functional>
#include <memory>
#include <string>

namespace Toucan {

/// What the carrier asks the network layer to send to a target.
struct TargetCall {
    PartRequest part;
    std::string address;
    /// Connections that this node may hold to the target.
    uint32_t connectionShare { 1 };
};

/// Target side of a part request: one priority queue, slot limit and connection share for each target that this node
/// carries. Has no I/O; not thread-safe.
class Dispatcher {
public:
    struct Hooks {
        std::function<void(TargetCall const&)> send;
        /// Asks the target to cancel an attempt that was sent.
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
    /// `sender` is the name of the entry node, or this node's own name.
    /// Whether the candidate does not dial the address yet, because earlier carriers may still hold connections.
    bool isDialDelayed(std::string const& address, std::string const& node, Milliseconds now) const;
    void submit(std::string const& sender, PartRequest&& part, Milliseconds now);
    void cancel(AttemptId const& attempt, Milliseconds now);
    void onTargetAnswer(TargetAnswer&& answer, Milliseconds now);
    void onTargetStatus(std::string const& target, TargetState state, TargetLoad load, Milliseconds now);
    /// Drops idempotent work of an entry node that is gone.
    void dropPartsFrom(std::string const& sender, Milliseconds now);
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;
    /// Parts that are queued or at a target.
    size_t running() const;
    Json::Value describe(Milliseconds now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
