#pragma once

#include "Base/Clock.h"
#include "Base/Outcome.h"

#include <cstdint>
#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace Toucan {

/// Identifies a caller's session inside one process.
using RequestHandle = uint64_t;
/// Unique over all nodes and restarts: "node/incarnation/number".
using AttemptId = std::string;
using SharedText = std::shared_ptr<std::string const>;

enum class Idempotence {
    Idempotent,
    NonIdempotent,
};

/// A caller's request, parsed from HTTP.
struct CallerRequest {
    RequestHandle handle { 0 };
    std::string requestId;
    std::string service;
    Idempotence idempotence { Idempotence::Idempotent };
    /// Name of the priority class; empty selects the rule's class.
    std::string priority;
    /// Time that the caller allows from `received` on; zero selects the rule's deadline.
    Milliseconds timeout;
    Milliseconds received;
    SharedText body;
    /// Maximum number of hits in the merged answer; zero means no limit.
    uint32_t limit { 0 };
    /// UUIDv7 of a non-idempotent request.
    std::string requestKey;
    /// Record that a non-idempotent request is about; its hash selects the shard.
    std::string record;
};

struct Coverage {
    uint32_t shards { 0 };
    uint32_t merged { 0 };
    std::vector<uint32_t> missing;
    bool isComplete() const { return this->shards > 0 && this->merged == this->shards; }
};

/// RFC 9457 problem details.
struct Problem {
    /// Last path segment of the problem type, for example "deadline-exceeded".
    std::string type;
    std::string title;
    std::string detail;
    std::string remedy;
};

struct CallerAnswer {
    RequestHandle handle { 0 };
    std::string requestId;
    std::string service;
    /// HTTP status.
    int status { 200 };
    Outcome outcome { Outcome::Unknown };
    std::string snapshot;
    Coverage coverage;
    Json::Value hits { Json::arrayValue };
    /// Time from the receipt of the request to this answer.
    Milliseconds totalTime;
    /// Longest time that a merged part waited in a dispatcher's queue.
    Milliseconds queueTime;
    /// Set when status is not 200.
    Problem problem;
};

/// One attempt to get one shard's part from one target.
struct PartRequest {
    AttemptId attempt;
    std::string requestId;
    std::string service;
    std::string target;
    std::string snapshot;
    uint32_t shard { 0 };
    /// Index of the priority class; 0 is the most urgent one.
    uint32_t classIndex { 0 };
    /// Time left until the deadline when the message is sent; the receiver counts it down on its own clock.
    Milliseconds remaining;
    Idempotence idempotence { Idempotence::Idempotent };
    std::string requestKey;
    SharedText body;
};

enum class PartStatus {
    Complete,
    /// Status 200, but the body is not a JSON object, `complete` is not true or `hits` is not an array.
    Truncated,
    /// Echoed ids, snapshot or shard differ from the request.
    Mismatch,
    SnapshotUnavailable,
    /// The attempt was not started: the target refused it because it is shedding load or draining, or the dispatcher
    /// did not send it because the target is draining.
    Shed,
    /// The dispatcher refused the part before sending it: its queue was full, or the expected wait exceeded the time
    /// left.
    Refused,
    /// Not sent: the deadline passed before sending, or too little time was left for an answer.
    ExpiredInQueue,
    /// The deadline passed after sending.
    DeadlineExceeded,
    Cancelled,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection to the target or its dispatcher was lost, or the response was invalid; the attempt may have run.
    ConnectionLost,
    /// The target answered with an error after it may have started.
    TargetError,
    /// No usable node dispatches the target, or the node that received the part does not; nothing was sent to the
    /// target.
    NoDispatcher,
};

/// True when no byte can have reached a target, or the target reported that it did not start.
constexpr bool certainlyNotRun(PartStatus status)
{
    switch (status) {
    case PartStatus::SnapshotUnavailable:
    case PartStatus::Shed:
    case PartStatus::Refused:
    case PartStatus::ExpiredInQueue:
    case PartStatus::ConnectFailed:
    case PartStatus::NoDispatcher:
        return true;
    default:
        return false;
    }
}

enum class TargetState {
    Serving,
    Starting,
    Draining,
};

struct TargetLoad {
    uint32_t running { 0 };
    uint32_t queued { 0 };
    uint32_t slots { 0 };
};

/// Result of one attempt, with the state and load of the target as its dispatcher last observed them.
struct PartResult {
    AttemptId attempt;
    std::string target;
    PartStatus status { PartStatus::TargetError };
    std::string requestId;
    std::string snapshot;
    uint32_t shard { 0 };
    Json::Value hits { Json::arrayValue };
    /// Time between sending to the target and its answer.
    Milliseconds serviceTime;
    /// Time in the dispatcher's queue.
    Milliseconds queueTime;
    /// Set with Shed.
    Milliseconds retryAfter;
    TargetState state { TargetState::Serving };
    TargetLoad load;
    /// Parts waiting for this target in the dispatcher's queue.
    uint32_t dispatcherQueueLength { 0 };
};

/// Result of a part that ends without an answer from its target.
inline PartResult resultWithoutAnswer(PartRequest const& part, PartStatus status)
{
    PartResult result;
    result.attempt = part.attempt;
    result.target = part.target;
    result.status = status;
    result.requestId = part.requestId;
    result.snapshot = part.snapshot;
    result.shard = part.shard;
    return result;
}

/// Result of one HTTP exchange with a target, as the network layer reports it.
struct TargetAnswer {
    AttemptId attempt;
    std::string target;
    /// HTTP status, or 0 when no complete response arrived.
    int status { 0 };
    enum class Transport {
        Answered,
        ConnectFailed,
        Broken,
        TimedOut,
    } transport { Transport::Answered };
    /// Parsed body; null when it was not JSON.
    Json::Value body;
    TargetLoad load;
    TargetState state { TargetState::Serving };
    /// The response has the header field Toucan-Started with the value "no".
    bool reportedNotStarted { false };
    Milliseconds retryAfter;
};

/// A non-idempotent request, as sent to the owner of its key.
struct CommandRequest {
    std::string requestKey;
    std::string requestId;
    std::string service;
    std::string record;
    /// Index of the priority class; 0 is the most urgent one.
    uint32_t classIndex { 0 };
    /// Time left until the deadline when the message is sent.
    Milliseconds remaining;
    SharedText body;
};

/// Final result of a command from the owner of its key, or the reason why the node that received the command did not
/// decide.
struct CommandResult {
    std::string requestKey;
    std::string requestId;
    Outcome outcome { Outcome::Unknown };
    int status { 200 };
    std::string snapshot;
    uint32_t shard { 0 };
    Json::Value hits { Json::arrayValue };
    Problem problem;
};

} // namespace Toucan
