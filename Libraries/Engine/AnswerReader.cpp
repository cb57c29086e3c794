#include "Engine/AnswerReader.h"

#include <limits>
#include <utility>

namespace Toucan {

static PartStatus statusOf(TargetAnswer const& answer)
{
    switch (answer.transport) {
    case TargetAnswer::Transport::ConnectFailed:
        return PartStatus::ConnectFailed;
    case TargetAnswer::Transport::Broken:
        return PartStatus::ConnectionLost;
    case TargetAnswer::Transport::TimedOut:
        return PartStatus::DeadlineExceeded;
    case TargetAnswer::Transport::Answered:
        break;
    }
    switch (answer.status) {
    case 200: {
        auto const complete = answer.body.isObject() && answer.body["complete"].isBool()
            && answer.body["complete"].asBool() && answer.body["hits"].isArray();
        return complete ? PartStatus::Complete : PartStatus::Truncated;
    }
    case 410:
        return PartStatus::SnapshotUnavailable;
    case 499:
        return PartStatus::Cancelled;
    case 503:
        return answer.reportedNotStarted ? PartStatus::Shed : PartStatus::TargetError;
    case 504:
        return PartStatus::DeadlineExceeded;
    default:
        return PartStatus::TargetError;
    }
}

static std::string stringMember(Json::Value const& body, char const* name)
{
    auto const& member = body[name];
    return member.isString() ? member.asString() : std::string();
}

/// True for an answer to a command that denies its start without echoing the attempt id. Such an answer may belong to
/// another attempt, so trusting it could run a command twice.
static bool isUnverifiedRefusal(TargetAnswer const& answer, PartRequest const& request, PartStatus status)
{
    return answer.transport == TargetAnswer::Transport::Answered && request.idempotence == Idempotence::NonIdempotent
        && certainlyNotRun(status) && !(answer.body.isObject() && answer.body.isMember("attempt"));
}

/// Error bodies need not echo the attempt id, but an answer that names another attempt never belongs to this one.
static bool failsEchoCheck(Json::Value const& body, PartRequest const& request, PartStatus status)
{
    if (!body.isObject())
        return false;
    if (status != PartStatus::Complete && !body.isMember("attempt"))
        return false;
    return stringMember(body, "attempt") != request.attempt;
}

PartResult readTargetAnswer(TargetAnswer&& answer, PartRequest const& request, Feature echoCheck)
{
    PartResult result;
    result.attempt = request.attempt;
    result.target = request.target;
    result.requestId = request.requestId;
    result.snapshot = request.snapshot;
    result.shard = request.shard;
    result.retryAfter = answer.retryAfter;
    result.load = answer.load;
    result.status = statusOf(answer);
    if (result.status == PartStatus::Complete) {
        auto const& body = std::as_const(answer.body);
        result.requestId = stringMember(body, "requestId");
        result.snapshot = stringMember(body, "snapshot");
        result.shard = body["shard"].isUInt() ? body["shard"].asUInt() : std::numeric_limits<uint32_t>::max();
    }
    if (echoCheck == Feature::On && failsEchoCheck(answer.body, request, result.status))
        result.status = PartStatus::Mismatch;
    else if (echoCheck == Feature::On && isUnverifiedRefusal(answer, request, result.status))
        result.status = PartStatus::TargetError;
    if (result.status == PartStatus::Complete)
        result.hits = std::move(answer.body["hits"]);
    return result;
}

} // namespace Toucan
