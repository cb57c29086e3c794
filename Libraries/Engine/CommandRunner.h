#pragma once

#include "Engine/CoordinatorState.h"
#include "Engine/Problems.h"
#include "Engine/Query.h"

#include <set>
#include <unordered_map>
#include <utility>

namespace Toucan {

/// Runs non-idempotent commands: one attempt, and another one only after a result whose attempt certainly did not run.
class CommandRunner {
public:
    explicit CommandRunner(CoordinatorState& state)
        : state(state)
    {
    }

    void start(CommandRequest const& request, Milliseconds now);
    void onResult(PendingAttempt const& attempt, PartResult&& result, Milliseconds now);
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;
    size_t running() const { return this->commands.size(); }

private:
    struct Command {
        uint64_t number { 0 };
        CommandRequest request;
        ConfigurationPointer configuration;
        ServiceDefinition const* service { nullptr };
        Rule const* rule { nullptr };
        std::string snapshot;
        uint32_t shard { 0 };
        Milliseconds deadline;
        Milliseconds wakeup { never };
        AttemptId pendingAttempt;
        std::vector<std::string> triedTargets;
        uint32_t attempts { 0 };
        PartStatus lastStatus { PartStatus::NoDispatcher };
        TargetState lastState { TargetState::Serving };
    };

    /// Sends the next attempt, after a delay when every usable replica was tried; finishes the command as not run when
    /// no replica is usable.
    void send(Command& command, Milliseconds now);
    void handleFailedAttempt(Command& command, Milliseconds now);
    void finish(Command& command, Outcome outcome, Refusal const& refusal, PartResult* result);
    void onTimer(Command& command, Milliseconds now);
    void scheduleAt(Command& command, Milliseconds time);

    CoordinatorState& state;
    std::unordered_map<uint64_t, Command> commands;
    std::set<std::pair<Milliseconds, uint64_t>> timers;
};

} // namespace Toucan
