#pragma once

#include "Engine/Messages.h"

namespace Toucan {

/// HTTP status and RFC 9457 problem that explain why a request has no result.
struct Refusal {
    int status { 503 };
    Problem problem;
};

Refusal deadlineExceeded();
Refusal unknownService(std::string const& service);
Refusal notReady();
Refusal noUsableReplica();
/// Refusal for a request whose part last failed with this status.
Refusal partFailed(PartStatus status);

} // namespace Toucan
