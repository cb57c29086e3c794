#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// Sends each part to the first usable dispatcher candidate of its target, which may be this node, and fails the parts
/// in flight at a dispatcher that is lost. flush() sends the parts for one peer as one group. Has no I/O; not
/// thread-safe.
class PartRouter {
public:
    struct Hooks {
        std::function<void(std::string const& peer, std::vector<PartRequest> const&)> sendParts;
        std::function<void(std::string const& peer, std::vector<AttemptId> const&)> sendCancels;
        /// Hands a part to this node's own dispatcher.
        std::function<void(PartRequest&&)> submitLocally;
        std::function<void(AttemptId const&)> cancelLocally;
        std::function<void(PartResult&&)> result;
        std::function<bool(std::string const& node)> isUsable;
        /// Whether a candidate does not dial the target's address yet; see DispatcherHandover. May be empty.
        std::function<bool(std::string const& address, std::string const& node)> isDialDelayed;
    };

    PartRouter(Hooks hooks, std::string nodeName);

    void setConfiguration(ConfigurationPointer configuration);
    void send(PartRequest const& part);
    void cancel(AttemptId const& attempt);
    /// A result from a peer. Results of attempts that are not in flight there are counted and dropped.
    void onPeerResult(std::string const& peer, PartResult&& result);
    /// The peer is dead or its connection was lost: its attempts end with ConnectionLost, or with NoDispatcher if they
    /// were not sent yet.
    void onPeerLost(std::string const& peer);
    void flush();
    /// Whether this node is a dispatcher candidate of the target under the configuration in force; also true while its
    /// dial is delayed.
    bool isDispatcherCandidate(std::string const& service, std::string const& target) const;
    uint64_t lateResults() const { return this->lateResultCount; }

private:
    struct InFlight {
        std::string dispatcher;
        std::string target;
        std::string requestId;
        std::string snapshot;
        uint32_t shard { 0 };
    };

    struct Candidates {
        std::string address;
        std::vector<std::string> names;
    };

    std::string chooseDispatcher(PartRequest const& part);
    Candidates const& candidatesOf(std::string const& service, std::string const& target) const;
    void fail(InFlight const& entry, AttemptId const& attempt, PartStatus status);

    Hooks hooks;
    std::string nodeName;
    ConfigurationPointer configuration;
    mutable std::unordered_map<std::string, Candidates> candidates;
    std::unordered_map<AttemptId, InFlight> inFlight;
    std::map<std::string, std::vector<PartRequest>> outgoing;
    std::map<std::string, std::vector<AttemptId>> outgoingCancels;
    uint64_t lateResultCount { 0 };
};

} // namespace Toucan
