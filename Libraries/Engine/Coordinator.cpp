#include "Engine/Coordinator.h"

#include "Engine/CommandRunner.h"
#include "Engine/CoordinatorState.h"
#include "Engine/QueryRunner.h"

#include <algorithm>

namespace Toucan {

class Coordinator::Implementation {
public:
    Implementation(Hooks hooks, std::string attemptPrefix)
        : state(std::move(hooks), std::move(attemptPrefix))
        , queries(this->state)
        , commands(this->state)
    {
    }

    void onPartResult(PartResult&& result, Milliseconds now)
    {
        auto const found = this->state.attempts.find(result.attempt);
        if (found == this->state.attempts.end()) {
            ++this->state.counters.lateResults;
            return;
        }
        auto const attempt = std::move(found->second);
        this->state.attempts.erase(found);
        this->state.targetHealth.of(attempt.target).removeInFlight();
        if (attempt.idempotence == Idempotence::Idempotent)
            this->queries.onResult(attempt, std::move(result), now);
        else
            this->commands.onResult(attempt, std::move(result), now);
    }

    CoordinatorState state;
    QueryRunner queries;
    CommandRunner commands;
};

Coordinator::Coordinator(Hooks hooks, std::string attemptPrefix)
    : implementation(std::make_unique<Implementation>(std::move(hooks), std::move(attemptPrefix)))
{
}

Coordinator::~Coordinator() = default;

void Coordinator::setConfiguration(ConfigurationPointer configuration, Milliseconds now)
{
    this->implementation->state.setConfiguration(std::move(configuration), now);
}

void Coordinator::startQuery(CallerRequest&& request, Milliseconds now)
{
    this->implementation->queries.start(std::move(request), now);
    this->implementation->state.outbox.flush();
}

void Coordinator::abandon(RequestHandle handle, Milliseconds now)
{
    this->implementation->queries.abandon(handle, now);
    this->implementation->state.outbox.flush();
}

void Coordinator::startCommand(CommandRequest const& command, Milliseconds now)
{
    this->implementation->commands.start(command, now);
    this->implementation->state.outbox.flush();
}

void Coordinator::onPartResult(PartResult&& result, Milliseconds now)
{
    this->implementation->onPartResult(std::move(result), now);
    this->implementation->state.outbox.flush();
}

void Coordinator::setTargetState(std::string const& target, TargetState state, Milliseconds now)
{
    this->implementation->state.targetHealth.of(target).setState(state, now);
}

void Coordinator::advance(Milliseconds now)
{
    this->implementation->queries.advance(now);
    this->implementation->commands.advance(now);
    this->implementation->state.outbox.flush();
}

Milliseconds Coordinator::nextWakeup() const
{
    return std::min(this->implementation->queries.nextWakeup(), this->implementation->commands.nextWakeup());
}

size_t Coordinator::running() const
{
    return this->implementation->queries.running() + this->implementation->commands.running();
}

Json::Value Coordinator::describe(Milliseconds now) const { return this->implementation->state.describe(now); }

} // namespace Toucan
