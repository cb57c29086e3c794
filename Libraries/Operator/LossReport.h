#pragma once

#include "Operator/LogLine.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// Counts, from the logs of many gateways, which requests were late, partial, refused or failed, and why. The lines of
/// a log are bounded under load, so the counts are lower bounds then; droppedLines() says how many lines are missing.
class LossReport {
public:
    enum class Loss {
        Late,
        Partial,
        Refused,
        Failed,
    };
    /// The first that applies to a request, in this order.
    enum class Cause {
        ConfigurationUnknown,
        NodeLimit,
        /// The workspace was over its limit, or no relay granted it requests.
        WorkspaceLimit,
        NodeStop,
        NoRoute,
        /// No registered target could receive a request.
        NoUsableTarget,
        /// The part was left out because its shard was overloaded.
        ShardOverloaded,
        /// A hedge or retry was denied.
        ExtraAttemptDenied,
        /// Targets did not run the request, and no other was left.
        Rejected,
        /// No connection to a target could be made in time.
        NotConnected,
        /// A target answered with a failure, or its connection broke.
        TargetFailed,
        /// A part was slow, and the shard had no other target for a hedge.
        NoOtherTarget,
        /// None of these: the targets answered late.
        SlowTarget,
    };
    struct Row {
        /// Start of the time slice, since 1970-01-01.
        Milliseconds from;
        Loss loss { Loss::Late };
        Cause cause { Cause::SlowTarget };
        uint64_t requests { 0 };
        /// Service or shard that most of these requests lacked, and the number of them; empty when none was named.
        std::string service;
        uint64_t serviceRequests { 0 };
        /// Target that the lines of most of these requests name, and the number of them.
        std::string target;
        uint64_t targetRequests { 0 };
    };

    explicit LossReport(Milliseconds slice);

    /// Adds one line. `place` names the line, as in "node-1.log:17", in case it can't be read.
    void add(std::string_view line, std::string_view place);

    /// Ordered by time; within a slice, the most frequent first.
    std::vector<Row> rows() const;
    uint64_t lines() const { return this->lineCount; }
    uint64_t droppedLines() const { return this->dropped; }
    std::string table() const;
    Json::Value toJson() const;

private:
    /// What the lines of one request have told so far.
    struct Request {
        /// Causes by the service that the line named.
        std::map<std::string, Cause> causes;
        std::string target;
    };
    struct Tally {
        uint64_t requests { 0 };
        std::map<std::string, uint64_t> services;
        std::map<std::string, uint64_t> targets;
    };
    struct Unread {
        uint64_t count { 0 };
        std::string first;
    };
    using Requests = std::unordered_map<std::string, Request>;

    Request& requestOf(LogLine const& line);
    Request takeRequest(std::string const& id);
    void noteCause(LogLine const& line, Cause cause);
    void noteAttempt(LogLine const& line);
    void countAnswer(LogLine const& line);
    void countRefusal(LogLine const& line);
    Tally& tallyOf(LogLine const& line, Loss loss, Cause cause);

    Milliseconds slice;
    uint64_t lineCount { 0 };
    uint64_t dropped { 0 };
    /// Requests without a loss have no last line, so the older ones are forgotten in two generations.
    Requests recent;
    Requests older;
    std::map<int64_t, std::map<std::pair<Loss, Cause>, Tally>> slices;
    std::map<LogLineFault, Unread> unread;
};

std::string_view toString(LossReport::Loss loss);
std::string_view toString(LossReport::Cause cause);

} // namespace Toucan
