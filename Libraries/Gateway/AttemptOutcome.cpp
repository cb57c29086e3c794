#include "Gateway/AttemptOutcome.h"

#include "Base/HttpStatus.h"
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <array>

namespace Toucan {

using Poco::Net::HTTPResponse;

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Success:
        return "success";
    case AttemptOutcome::TargetFailed:
        return "target-failed";
    case AttemptOutcome::NotRun:
        return "not-run";
    case AttemptOutcome::WrongTarget:
        return "wrong-target";
    case AttemptOutcome::NotSent:
        return "not-sent";
    case AttemptOutcome::Unknown:
        break;
    }
    return "unknown";
}

std::string_view toString(AttemptReply::Transport transport)
{
    switch (transport) {
    case AttemptReply::Transport::Answered:
        return "answered";
    case AttemptReply::Transport::NotSent:
        return "not-sent";
    case AttemptReply::Transport::Rejected:
        return "rejected";
    case AttemptReply::Transport::Withdrawn:
        return "withdrawn";
    case AttemptReply::Transport::TimedOut:
        return "timed-out";
    case AttemptReply::Transport::Broken:
        break;
    }
    return "broken";
}

AttemptOutcome outcomeOf(AttemptReply const& reply, GatewayHeaders const& names)
{
    switch (reply.transport) {
    case AttemptReply::Transport::NotSent:
    case AttemptReply::Transport::Rejected:
    case AttemptReply::Transport::Withdrawn:
        return AttemptOutcome::NotSent;
    case AttemptReply::Transport::Broken:
    case AttemptReply::Transport::TimedOut:
        return AttemptOutcome::Unknown;
    case AttemptReply::Transport::Answered:
        break;
    }
    auto const status = reply.head.getStatus();
    if (!isValidHttpStatus(static_cast<int>(status)))
        return AttemptOutcome::Unknown;
    if (status == HTTPResponse::HTTP_MISDIRECTED_REQUEST)
        return AttemptOutcome::WrongTarget;
    if (reply.head.has(names.notRun))
        return AttemptOutcome::NotRun;
    if (!reply.head.has(names.signature) || reply.head.has("Content-Encoding"))
        return AttemptOutcome::Unknown;
    bool const success = static_cast<int>(status) >= 200 && static_cast<int>(status) < 300;
    return success ? AttemptOutcome::Success : AttemptOutcome::TargetFailed;
}

bool answersRequest(
    HTTPResponse const& head, std::string_view requestId, bool firstOnConnection, GatewayHeaders const& names)
{
    if (head.has(names.requestId))
        return head.get(names.requestId) == requestId;
    return firstOnConnection || head.has(names.notRun) || head.getStatus() == HTTPResponse::HTTP_MISDIRECTED_REQUEST;
}

std::optional<ReportedLoad> readLoad(HTTPResponse const& head, GatewayHeaders const& names)
{
    if (!head.has(names.load))
        return std::nullopt;
    Poco::StringTokenizer const numbers(head.get(names.load), ",", Poco::StringTokenizer::TOK_TRIM);
    constexpr size_t required = 3;
    std::array<unsigned, required + 1> values {};
    auto const count = std::min(numbers.count(), values.size());
    if (count < required)
        return std::nullopt;
    for (size_t index = 0; index < count; ++index) {
        if (!Poco::NumberParser::tryParseUnsigned(numbers[index], values[index]))
            return std::nullopt;
    }
    ReportedLoad load { values[0], values[1], values[2], {} };
    if (count > required && values[required] > 0)
        load.slowdown = values[required] / 100.0;
    return load;
}

void removeConnectionFields(Poco::Net::HTTPMessage& head)
{
    std::string connection;
    for (auto const& [name, value] : head) {
        if (Poco::icompare(name, "Connection") == 0)
            connection += value + ",";
    }
    Poco::StringTokenizer const named(
        connection, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    for (auto const& name : named) {
        // A caller must not be able to remove the fields that identify its request.
        if (Poco::icompare(name, "Host") != 0)
            head.erase(name);
    }
    for (auto const* name : { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
             "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length" })
        head.erase(name);
}

} // namespace Toucan
