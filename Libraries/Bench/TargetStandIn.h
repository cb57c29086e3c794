#pragma once

#include "Bench/HistoryWriter.h"
#include "Bench/HttpSession.h"

#include <cstdint>
#include <deque>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Toucan::Bench {

/// Behaviour of one target; the members of an entry of "targets" in the settings.
struct TargetProfile {
    std::string name;
    std::string service;
    std::string address;
    uint32_t slots { 1 };
    /// Further connections are closed at once.
    uint32_t connectionLimit { 1 };
    /// Time from accepting a connection until its first request is read.
    Milliseconds connectDelay;
    /// Median of the log-normal service time.
    Milliseconds serviceTime;
    /// Standard deviation of the logarithm of the service time.
    double jitter { 0 };
    /// Time after the start in which requests take longer and the state is "starting".
    Milliseconds coldStartDuration;
    /// Time for which a draining target still accepts requests; after that it answers 503.
    Milliseconds drainGrace;
    /// Shards that the target holds, by snapshot id.
    std::map<std::string, std::set<uint32_t>> snapshots;

    /// Throws Error of kind InvalidSettings.
    static TargetProfile parse(Json::Value const& settings);
};

/// `shed` counts refusals with status 503, because the queue is full or the target drains; `expired` counts attempts,
/// queued or running, whose deadline passed; `cancelled` counts attempts that a DELETE ended.
struct TargetCounters {
    uint64_t started { 0 };
    uint64_t completed { 0 };
    uint64_t cancelled { 0 };
    uint64_t shed { 0 };
    uint64_t expired { 0 };
    uint64_t snapshotUnavailable { 0 };
    uint64_t connectionsRefused { 0 };
    size_t connectionsPeak { 0 };
    size_t slotsPeak { 0 };
};

/// One target as docs/design.md describes it in section 3.2: slots, queue, deadlines, cancellation, drain, snapshots,
/// and faults on request. Uses the loop of its process; not thread-safe.
class TargetStandIn {
public:
    TargetStandIn(BenchLoop& loop, HistoryWriter& history, TargetProfile profile, uint64_t seed);
    ~TargetStandIn();
    TargetStandIn(TargetStandIn const&) = delete;
    TargetStandIn& operator=(TargetStandIn const&) = delete;

    /// Applies a control request. Members, each optional: "slowFactor" (factor of the service time), "state"
    /// ("serving", "starting" or "draining"), "drainGraceMs", "snapshots" (as in the settings), "stall" (bool; requests
    /// are accepted, but nothing proceeds), "crash" (bool; false restarts the target), "truncate" (number of answers to
    /// truncate) and "misreport" ({"running","queued"} to report instead of the actual load, or null). Throws Error of
    /// kind InvalidInput, with nothing changed, when a member or the state is unknown. Throws Json::Exception when a
    /// member has a wrong type; other members may have been applied then.
    void control(Json::Value const& change);
    Json::Value describe() const;

private:
    /// One attempt, queued or running.
    struct Execution {
        std::string attempt;
        std::string requestId;
        /// Empty for idempotent requests.
        std::string requestKey;
        std::string snapshot;
        uint32_t shard { 0 };
        std::shared_ptr<HttpSession> session;
        BenchLoop::TimerId deadlineTimer { 0 };
        BenchLoop::TimerId finishTimer { 0 };
    };
    using ExecutionPointer = std::shared_ptr<Execution>;
    enum class State {
        Serving,
        Starting,
        Draining,
    };

    void listen();
    void onConnection(std::shared_ptr<StreamSession> const& stream);
    void onClosed(std::shared_ptr<HttpSession> const& session);
    void onRequest(std::shared_ptr<HttpSession> const& session, HttpRequest const& request);
    void onExecutionRequest(std::shared_ptr<HttpSession> const& session, HttpRequest const& request);
    void onCancel(std::shared_ptr<HttpSession> const& session, std::string_view attempt);
    void onDeadline(ExecutionPointer const& execution);
    void submit(ExecutionPointer const& execution);
    void start(ExecutionPointer const& execution);
    void startQueued();
    void complete(ExecutionPointer const& execution);
    /// Ends a queued or running execution with an error status.
    void abort(ExecutionPointer const& execution, int status, std::string_view outcome);
    /// Removes an execution from the queue, its slot and the known attempts, and cancels its timers. Sends no answer.
    void release(ExecutionPointer const& execution);
    /// Refuses a request that is not an attempt.
    void refuse(std::shared_ptr<HttpSession> const& session, int status, std::string_view type);
    /// Refuses an attempt that has not started; the answer names the attempt.
    void refuse(Execution const& execution, int status, std::string_view type);
    void respondRefusal(std::shared_ptr<HttpSession> const& session, int status, Json::Value const& body);
    void record(Execution const& execution, std::string_view kind, std::string_view outcome);
    void recordState(std::string_view state);
    void endStall();
    void crash();
    void restart();
    /// Runs the action now, or after the stall has ended.
    void runWhenNotStalled(std::function<void()> action);

    State state() const;
    std::string_view stateName() const;
    bool holds(std::string const& snapshot, uint32_t shard) const;
    bool refusesNewWork() const;
    double coldStartFactor() const;
    Milliseconds drawServiceTime();
    HttpFields loadFields() const;
    std::string answerBody(Execution const& execution) const;

    BenchLoop& loop;
    HistoryWriter& history;
    TargetProfile profile;
    std::mt19937_64 random;
    std::normal_distribution<double> normal;
    std::unique_ptr<StreamListener> listener;
    std::set<std::shared_ptr<HttpSession>> sessions;
    std::set<ExecutionPointer> running;
    std::deque<ExecutionPointer> queue;
    std::unordered_map<std::string, ExecutionPointer> attempts;
    TargetCounters counters;
    Milliseconds startedAt;
    /// Set by a control request; overrides the state that follows from the cold start.
    std::optional<State> forcedState;
    Milliseconds drainStartedAt;
    double slowFactor { 1 };
    bool stalled { false };
    /// Actions that wait for the end of a stall.
    std::deque<std::function<void()>> deferredActions;
    uint64_t answersToTruncate { 0 };
    /// Running and queued executions to report instead of the actual ones.
    std::optional<std::pair<uint32_t, uint32_t>> misreportedLoad;
};

} // namespace Toucan::Bench
