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

/// Time of a timer that is not set.
constexpr Milliseconds noWakeup { std::numeric_limits<double>::infinity() };

struct DispatcherCounters {
    uint64_t submitted { 0 };
    uint64_t sent { 0 };
    uint64_t refused { 0 };
    uint64_t expired { 0 };
    uint64_t shed { 0 };
    uint64_t duplicates { 0 };
    uint64_t lateAnswers { 0 };
    /// Calls that the network layer had not ended when overdueGracePeriod after their deadline had passed.
    uint64_t overdue { 0 };
    uint64_t polls { 0 };
};

/// Hooks and counters that all targets of a dispatcher share.
struct DispatcherContext {
    Dispatcher::Hooks hooks;
    Outbox outbox;
    DispatcherCounters counters;
};

/// Queue, slot limit and running calls of one target. Each change that may let a part start (new
/// part, free slot, new state) ends with sendReadyParts().
class TargetDispatcher {
public:
    TargetDispatcher(DispatcherContext& context, std::string name);

    void configure(TargetDefinition const& definition, Rule const& rule, uint32_t connectionShare,
        uint32_t leastUrgentClass, Milliseconds now);
    /// Called when this node may no longer dial the target; queued parts end with PartStatus::NoDispatcher.
    void retire(Milliseconds now);
    void submit(QueuedPart&& part, Milliseconds now);
    /// Returns false when the attempt is neither queued nor running here.
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
        /// The entry node was lost, so no result is sent to it.
        bool discardResult { false };
    };

    bool isDraining() const;
    /// A node that has just started, or just become a dispatcher of the target, does not know whether the target is
    /// draining. Parts stay queued until the first status arrives or `firstStatusDeadline` passes, so that a draining
    /// target gets no new work.
    bool awaitsFirstStatus(Milliseconds now) const { return !this->stateKnown && now < this->firstStatusDeadline; }
    /// Number of calls that may run at once, bounded by the slot limit and by the connection share.
    uint32_t slots() const;
    bool mayStart(uint32_t classIndex, Milliseconds now) const;
    Milliseconds expectedWait(uint32_t classIndex, Milliseconds now) const;
    /// Whether the part would probably miss its deadline even if it were sent now, and only occupy a slot.
    bool isTooLate(QueuedPart const& part, Milliseconds now) const;
    void sendReadyParts(Milliseconds now);
    void send(QueuedPart&& part, Milliseconds now);
    void onTimer(AttemptId const& attempt, Milliseconds now);
    void endOverdueCall(AttemptId const& attempt, Milliseconds now);
    void returnQueueIfDraining(Milliseconds now);
    void endWithoutAnswer(QueuedPart const& part, PartStatus status, Milliseconds now);
    void postResult(std::string const& sender, PartResult&& result);
    void updateEstimates(PartResult const& result, Milliseconds now);
    void setTimer(AttemptId const& attempt, Milliseconds time) { this->timers.emplace(time, attempt); }
    void clearTimer(AttemptId const& attempt, Milliseconds time) { this->timers.erase({ time, attempt }); }
    /// Removes and returns a running call; empty when the attempt is not running.
    std::optional<Call> endCall(AttemptId const& attempt);

    DispatcherContext& context;
    std::string name;
    TargetDefinition definition;
    Rule rule;
    uint32_t connectionShare { 1 };
    /// Index of the least urgent class, whose calls leave one slot to the other classes.
    uint32_t leastUrgentClass { 0 };
    bool retired { false };
    bool stateKnown { false };
    Milliseconds firstStatusDeadline { noWakeup };
    PartQueue queue;
    std::unordered_map<AttemptId, Call> calls;
    uint32_t leastUrgentClassCalls { 0 };
    SlotLimit slotLimit;
    ObservedState state;
    TargetLoad load;
    Milliseconds smoothedServiceTime;
    Milliseconds backOffEnd { -1e12 };
    Milliseconds backOffWakeup { noWakeup };
    /// Deadlines of queued parts, and the times at which running calls become overdue.
    std::set<std::pair<Milliseconds, AttemptId>> timers;
};

} // namespace Toucan
