#pragma once

#include "Gateway/GatewayMessages.h"

#include <optional>
#include <string>

namespace Toucan {

/// What a target says in the head of an answer about further requests.
struct TargetNotice {
    /// The target is about to stop and wants no further requests.
    bool leaving { false };
    /// Time for which it wants no requests from this node, above 0 and at most ten minutes; only a 503 states it.
    std::optional<Milliseconds> wait;
    /// Retry-After values that are not readable, not positive, or above ten minutes; for the log.
    std::string unusableWait;
    /// Requests per second that it accepts from all nodes together, 0 or more; the lowest of several values.
    std::optional<double> rateLimit;
    /// Values of the rate limit that are not readable, negative or not finite; for the log.
    std::string unusableRateLimit;
};

/// Reads Retry-After as seconds, with or without a fraction, or as a date (RFC 9110, section 10.2.3), which is compared
/// with the answer's Date field or else the local time of day. The longest of several values counts. A rate limit may
/// be in any answer. An answer with status 421 is of another target and states nothing.
TargetNotice readNotice(Poco::Net::HTTPResponse const& head, GatewayHeaders const& names);

} // namespace Toucan
