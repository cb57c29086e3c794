#pragma once

#include "Gateway/GatewayMessages.h"
#include "Gateway/GatewayTarget.h"

#include <optional>
#include <string_view>

namespace Toucan {

/// What one attempt at a target says about the request.
enum class AttemptOutcome {
    Success,
    /// The target ran the request and answered with a failure.
    TargetFailed,
    /// The target says that it did not run the request.
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

/// Reads the outcome of a reply. An answer without signature, or with a content coding that nobody asked for, did not
/// come whole from the target and counts as Unknown.
AttemptOutcome outcomeOf(AttemptReply const& reply, GatewayHeaders const& names);

/// Whether the response answers the request `requestId`. Targets echo the id. A response without one is accepted as the
/// first of its connection, and when it says that the request was not run; otherwise it may be a second answer to an
/// earlier request of the connection.
bool answersRequest(Poco::Net::HTTPResponse const& head, std::string_view requestId, bool firstOnConnection,
    GatewayHeaders const& names);

/// Empty when the header is absent or its numbers cannot be read.
std::optional<ReportedLoad> readLoad(Poco::Net::HTTPResponse const& head, GatewayHeaders const& names);

/// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), the length included.
void removeConnectionFields(Poco::Net::HTTPMessage& head);

} // namespace Toucan
