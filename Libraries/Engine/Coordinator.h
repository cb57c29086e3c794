#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Messages.h"

#include <functional>
#include <memory>
#include <string>

namespace Toucan {

/// Handles a query at the node that received it from the caller: pins a snapshot, sends one part request for each
/// shard, hedges and retries within the budget, merges the parts and answers with the actual coverage. Also runs
/// commands, one attempt at a time. Has no I/O; not thread-safe.
class Coordinator {
public:
    struct Hooks {
        /// Sends the part to the dispatcher of its target. The result comes back through onPartResult(), possibly
        /// before this hook returns.
        std::function<void(PartRequest const&)> sendPart;
        std::function<void(AttemptId const&, std::string const& target)> cancelPart;
        std::function<void(CallerAnswer&&)> answer;
        /// Reports the result of a command that startCommand() began.
        std::function<void(CommandResult&&)> commandFinished;
        /// Uniformly distributed in [0, 1).
        std::function<double()> random;
    };

    /// `attemptPrefix` ("node/incarnation") makes attempt ids unique over all nodes and restarts.
    Coordinator(Hooks hooks, std::string attemptPrefix);
    ~Coordinator();

    void setConfiguration(ConfigurationPointer configuration, Milliseconds now);
    void startQuery(CallerRequest&& request, Milliseconds now);
    /// Ends the query of a caller that closed its connection: cancels its attempts and gives no answer.
    void abandon(RequestHandle handle, Milliseconds now);
    /// Runs a command at most once: one attempt, and another one only after a result whose attempt certainly did
    /// not run.
    void startCommand(CommandRequest const& command, Milliseconds now);
    void onPartResult(PartResult&& result, Milliseconds now);
    /// Sets the state of a target that a peer's digest or the VM list reports as leaving.
    void setTargetState(std::string const& target, TargetState state, Milliseconds now);
    void advance(Milliseconds now);
    /// Time at which advance() must be called next.
    Milliseconds nextWakeup() const;
    /// Number of queries and commands that have not ended.
    size_t running() const;
    /// Counters and target states, for the operators' view and the metrics.
    Json::Value describe(Milliseconds now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
