#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Dispatcher.h"
#include "Engine/ObservedState.h"
#include "Engine/Outbox.h"
#include "Engine/PartQueue.h"
#include "Engine/SlotLimit.h"

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace Toucan {

constexpr Milliseconds noWakeup { std::numeric_limits<double>::infinity() };

struct DispatcherCounters {
    uint64_t submitted { 0 };
    uint64_t sent { 0 };
    uint64_t refused { 0 };
    uint64_t expired { 0 };
    uint64_t shed { 0 };
    uint64_t duplicates { 0 };
    uint64_t lateAnswers { 0 };
    uint64_t overdue { 0 };
    uint64_t polls { 0 };
};

/// Hooks and counters that all targets of a carrier share.
struct DispatcherContext {
    Dispatcher::Hooks hooks;
    Outbox outbox;
    DispatcherCounters counters;
};

/// Queue, slot limit and calls of one target. A change of the queue or of a slot ends with sendReady().
class TargetDispatcher {
public:
    TargetDispatcher(DispatcherContext& context, std::string name);

    void configure(TargetDefinition const& definition, Rule const& rule, uint32_t connectionShare, uint32_t lowestClass,
        Milliseconds now);
    /// The configuration no longer lets this node dial the target; what waits is given back.
    void retire(Milliseconds now);
    void submit(QueuedPart&& part, Milliseconds now);
    /// Returns false when the attempt is not here.
    bool cancel(AttemptId const& attempt, Milliseconds now);
    void onAnswer(TargetAnswer&& answer, Milliseconds now);
    void onStatus(TargetState state, TargetLoad const& reported, Milliseconds now);
    void dropPartsFrom(std::string const& sender, Milliseconds now);
    void advance(Milliseconds now);
    Milliseconds nextWakeup() const;
    size_t size() const { return this->queue.size() + this->calls.size(); }
    bool isRetired() const { return this->retired; }
    bool holds(AttemptId const& attempt) const;
    Json::Value describe(Milliseconds now) const;

private:
    struct Call {
        QueuedPart part;
        Milliseconds sent;
        /// Set when the entry node is gone or needs no result any more.
        bool silent { false };
    };

    bool isDraining() const;
    /// A node that has just started, or just become a carrier, does not know whether the target is leaving. Parts wait
    /// for its first status, so that it gets no new work if it is; a target that does not answer ends the wait by its
    /// bound.
    bool awaitsFirstStatus(Milliseconds now) const { return !this->stateKnown && now < this->firstStatusBound; }
    uint32_t slots() const;
    bool mayStart(uint32_t classIndex, Milliseconds now) const;
    Milliseconds expectedWait(uint32_t classIndex, Milliseconds now) const;
    /// Whether sending the part would only take a slot from parts that can still be on time.
    bool isTooLate(QueuedPart const& part, Milliseconds now) const;
    void sendReady(Milliseconds now);
    void send(QueuedPart&& part, Milliseconds now);
    void onTimer(AttemptId const& attempt, Milliseconds now);
    void endOverdueCall(AttemptId const& attempt, Milliseconds now);
    void returnQueueOfLeaving(Milliseconds now);
    void giveBack(QueuedPart const& part, PartStatus status, Milliseconds now);
    void postResult(std::string const& sender, PartResult&& result);
    void learn(PartResult const& result, Milliseconds now);
    void setTimer(AttemptId const& attempt, Milliseconds time) { this->timers.emplace(time, attempt); }
    void clearTimer(AttemptId const& attempt, Milliseconds time) { this->timers.erase({ time, attempt }); }
    /// Takes a call out of the running ones; empty when it is not running.
    std::optional<Call> endCall(AttemptId const& attempt);

    DispatcherContext& context;
    std::string name;
    TargetDefinition definition;
    Rule rule;
    uint32_t connectionShare { 1 };
    uint32_t lowestClass { 0 };
    bool retired { false };
    bool stateKnown { false };
    Milliseconds firstStatusBound { noWakeup };
    PartQueue queue;
    std::unordered_map<AttemptId, Call> calls;
    uint32_t lowestClassCalls { 0 };
    SlotLimit slotLimit;
    ObservedState state;
    TargetLoad load;
    Milliseconds smoothedService;
    Milliseconds backOff { -1e12 };
    Milliseconds backOffWakeup { noWakeup };
    /// Deadlines of waiting parts, and the latest ends of calls.
    std::set<std::pair<Milliseconds, AttemptId>> timers;
};

} // namespace Toucan
