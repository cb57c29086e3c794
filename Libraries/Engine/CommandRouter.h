#pragma once

#include "Configuration/Configuration.h"
#include "Engine/KeyOwner.h"
#include "Engine/Messages.h"

#include <functional>
#include <map>
#include <string>

namespace Toucan {

/// Handles a non-idempotent request at the node that received it from the caller: finds the owner of its key, forwards
/// the command and waits for its result. Forwarding again is safe, because the owner deduplicates by key. Has no I/O;
/// not thread-safe.
class CommandRouter {
public:
    struct Hooks {
        /// `correlation` identifies the pending command; the result comes back with it.
        std::function<void(std::string const& peer, std::string const& correlation, CommandRequest const&)> forward;
        /// Hands the command to this node's own KeyOwner.
        std::function<void(std::string const& correlation, CommandRequest&&)> submitLocally;
        std::function<void(CallerAnswer&&)> answer;
        /// Owner of the key in the latest known record, even when its interval has ended; empty when no record of the
        /// key range is known.
        std::function<std::string(std::string_view key)> likelyOwner;
        std::function<bool(std::string const& node)> isUsable;
    };

    CommandRouter(Hooks hooks, std::string nodeName);

    /// The request must have a valid key and a known service.
    void start(CallerRequest&& request, Configuration const& configuration, Milliseconds now);
    void abandon(RequestHandle handle);
    /// Ignores results of commands that have ended.
    void onCommandResult(std::string const& correlation, CommandResult&& result, Milliseconds now);
    /// Schedules another forward of the commands that were forwarded to the lost peer.
    void onPeerLost(std::string const& peer, Milliseconds now);
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;
    /// Number of commands that wait for a result.
    size_t running() const { return this->pending.size(); }

private:
    struct PendingCommand {
        CallerRequest request;
        uint32_t classIndex { 0 };
        Milliseconds deadline;
        /// Empty while the command waits for an owner.
        std::string forwardedTo;
        Milliseconds nextForward;
    };

    void tryForward(std::string const& correlation, PendingCommand& entry, Milliseconds now);
    void expire(PendingCommand const& entry, Milliseconds now);

    Hooks hooks;
    std::string nodeName;
    uint64_t lastNumber { 0 };
    std::map<std::string, PendingCommand> pending;
};

} // namespace Toucan
