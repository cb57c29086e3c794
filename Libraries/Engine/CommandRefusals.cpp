#include "Engine/CommandRefusals.h"

namespace Toucan {

static CommandResult createRefusal(CommandRequest const& command, Outcome outcome, int status, Problem&& problem)
{
    CommandResult result;
    result.requestKey = command.requestKey;
    result.requestId = command.requestId;
    result.outcome = outcome;
    result.status = status;
    result.problem = std::move(problem);
    return result;
}

CommandResult invalidRequestKey(CommandRequest const& command)
{
    return createRefusal(command, Outcome::NotRun, 400,
        { "invalid-request-key", "Invalid request key", "The request key is not a UUIDv7 (RFC 9562).",
            "Make a UUIDv7 once for each logical request." });
}

CommandResult reusedRequestKey(CommandRequest const& command)
{
    return createRefusal(command, Outcome::Unknown, 409,
        { "request-key-reused", "Request key reused", "The key belongs to a request with another content.",
            "Make a new key for each logical request." });
}

CommandResult expiredRequestKey(CommandRequest const& command)
{
    return createRefusal(command, Outcome::Unknown, 409,
        { "request-key-too-old", "Request key too old",
            "The key is older than what this owner knows; an earlier owner may have run it.",
            "Find out from the record whether the request ran before you send it with a new key." });
}

CommandResult notOwner(CommandRequest const& command)
{
    return createRefusal(command, Outcome::Unknown, 503,
        { "not-owner", "Not the owner of the key", "Another node decides about this key.",
            "Send the request again with the same key." });
}

CommandResult nodeStopping(CommandRequest const& command)
{
    return createRefusal(command, Outcome::NotRun, 503,
        { "stopping", "Node stops", "The owner of the key is stopping and starts no more commands.",
            "Send the request again with a new key." });
}

CommandResult commandDeadlineExceeded(std::string const& requestKey, std::string const& requestId)
{
    CommandRequest command;
    command.requestKey = requestKey;
    command.requestId = requestId;
    return createRefusal(command, Outcome::Unknown, 504,
        { "deadline-exceeded", "Deadline exceeded", "The request key was not decided before the deadline.",
            "Send the request again with the same key; it runs at most once." });
}

} // namespace Toucan
