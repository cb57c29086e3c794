#pragma once

#include "EngineFixtures.h"

#include "Engine/Coordinator.h"

#include <algorithm>
#include <random>

namespace Toucan {

/// A coordinator whose hook calls are recorded.
struct CoordinatorFixture {
    CoordinatorFixture()
        : coordinator(this->createHooks(), "n1/1")
    {
    }

    Coordinator::Hooks createHooks()
    {
        return { [this](PartRequest const& part) { this->parts.push_back(part); },
            [this](AttemptId const& attempt, std::string const&) { this->cancelled.push_back(attempt); },
            [this](CallerAnswer&& answer) { this->answers.push_back(std::move(answer)); },
            [this](CommandResult&& result) { this->commandResults.push_back(std::move(result)); },
            [this] { return std::uniform_real_distribution<double>(0, 1)(this->randomEngine); } };
    }

    void configure(TestConfiguration const& configuration)
    {
        this->coordinator.setConfiguration(configuration.pointer(), this->now);
    }
    void advanceTo(Milliseconds time)
    {
        this->now = time;
        this->coordinator.advance(this->now);
    }
    void start(RequestHandle handle) { this->coordinator.startQuery(makeQuery(handle, this->now), this->now); }
    void deliver(PartRequest const& part, PartStatus status = PartStatus::Complete)
    {
        this->coordinator.onPartResult(makeResult(part, status), this->now);
    }
    void deliver(PartResult&& result) { this->coordinator.onPartResult(std::move(result), this->now); }
    /// Takes the parts that were sent since the last call.
    std::vector<PartRequest> takeParts() { return std::exchange(this->parts, {}); }
    /// Runs complete queries in which each part takes `latency`.
    void warmUp(size_t queries, Milliseconds latency)
    {
        for (size_t index = 0; index < queries; ++index) {
            this->start(1000000 + index);
            this->advanceTo(this->now + latency);
            for (auto const& part : this->takeParts())
                this->deliver(part);
        }
        this->answers.clear();
        this->cancelled.clear();
    }
    uint64_t counter(char const* name) const
    {
        return this->coordinator.describe(this->now)["counters"][name].asUInt64();
    }
    bool wasCancelled(AttemptId const& attempt) const
    {
        return std::ranges::find(this->cancelled, attempt) != this->cancelled.end();
    }

    Milliseconds now { 1000 };
    std::mt19937 randomEngine { 7 };
    std::vector<PartRequest> parts;
    std::vector<AttemptId> cancelled;
    std::vector<CallerAnswer> answers;
    std::vector<CommandResult> commandResults;
    Coordinator coordinator;
};

} // namespace Toucan
