#pragma once

#include "Gateway/GatewayMessages.h"
#include "Gateway/GatewayTarget.h"

#include <optional>
#include <string_view>

namespace Toucan {

/// What the end of one attempt says about the execution of the request.
enum class AttemptOutcome {
    Success,
    /// The target ran the request and answered with a failure.
    TargetFailed,
    /// The target reports that it did not run the request.
    NotRun,
    /// Another target has the address; the request was not run.
    WrongTarget,
    /// Nothing was sent.
    NotSent,
    /// Whether the request ran is not known.
    Unknown,
};

std::string_view toString(AttemptOutcome outcome);
std::string_view toString(AttemptReply::Transport transport);

/// Derives the outcome from a reply. An answer without a signature, or with a Content-Encoding, is not the
/// target's complete answer and counts as Unknown, unless it has status 421 or reports that the request was not run. An
/// answer with an invalid status code is always Unknown.
AttemptOutcome outcomeOf(AttemptReply const& reply, GatewayHeaders const& names);

/// Whether the response answers the request `requestId`. Targets echo the id. A response without an id is accepted when
/// it is the first of its connection or reports that the request was not run; otherwise it may be a duplicate answer to
/// an earlier request of the connection.
bool answersRequest(Poco::Net::HTTPResponse const& head, std::string_view requestId, bool firstOnConnection,
    GatewayHeaders const& names);

/// Empty when the header is absent or its numbers cannot be read.
std::optional<ReportedLoad> readLoad(Poco::Net::HTTPResponse const& head, GatewayHeaders const& names);

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1) and Content-Length.
void removeConnectionFields(Poco::Net::HTTPMessage& head);

} // namespace Toucan
