#pragma once

#include "Base/Clock.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Toucan {

/// Names of the header fields that the gateway reads and writes towards callers and targets.
struct GatewayHeaders {
    std::string requestId { "Toucan-Request-Id" };
    /// Milliseconds that the sender will wait.
    std::string deadline { "Toucan-Deadline-Ms" };
    /// Identifies an answer of a target; present in every answer that a target made itself.
    std::string signature { "Toucan-Signature" };
    /// Identity of the target that the request is meant for.
    std::string expectedTarget { "Toucan-Expect-Target" };
    /// Running, waiting, slots and, when the target knows, the time that work takes now in percent of the usual time;
    /// separated by commas.
    std::string load { "Toucan-Load" };
    /// Present when the target did not run the request.
    std::string notRun { "Toucan-Not-Run" };
    std::string retryAfter { "Retry-After" };
    /// Signatures of the parts in a merged answer, separated by commas.
    std::string partSignatures { "Toucan-Part-Signatures" };
    /// Number of shards that are missing in a merged answer.
    std::string missingParts { "Toucan-Missing-Parts" };
};

/// A whole request of a caller.
struct ProxiedRequest {
    Poco::Net::HTTPRequest head;
    std::string body;
    /// Keeps the room that the body takes; may be null.
    std::shared_ptr<void const> memory;
    /// Time that the request and its answer spend on the way: the caller's clock ran before the request was read and
    /// runs until the answer has arrived.
    Milliseconds transitTime { 4 };
};

/// A whole answer to a caller; the session sets the length and the connection header.
struct ProxiedAnswer {
    Poco::Net::HTTPResponse head;
    std::string body;
    /// Keeps the room that the body takes; may be null.
    std::shared_ptr<void const> memory;
};

/// Estimated memory of a request and its attempts when it is sent to `parts` targets at once.
size_t estimateMemory(ProxiedRequest const& request, size_t parts);

/// One request to one target.
struct AttemptMessage {
    /// IP address and port.
    std::string address;
    /// Most connections of this node to the address.
    uint32_t connections { 1 };
    Poco::Net::HTTPRequest head;
    std::shared_ptr<std::string const> body;
    Milliseconds timeout;
    /// Largest body that the answer may have.
    size_t bodyLimit { 0 };
    /// A kept connection may be closed by the target just now, which leaves the outcome unknown.
    bool needsFreshConnection { false };
    /// Called when a connection takes the request, which may have waited for one: the time that is left is less then.
    std::function<void(Poco::Net::HTTPRequest&)> beforeSending;
    /// Whether a response answers this attempt, and not an earlier one on the same connection.
    std::function<bool(Poco::Net::HTTPResponse const&, bool firstOnConnection)> isOwnResponse;
};

struct AttemptReply {
    enum class Transport {
        Answered,
        /// No byte of the request was sent.
        NotSent,
        /// No byte of the request was sent, because the target takes no more connections.
        Rejected,
        /// The connection ended, or the response was not valid, after bytes were sent.
        Broken,
        /// No whole response came in time after bytes were sent.
        TimedOut,
    };
    Transport transport { Transport::NotSent };
    /// Valid with Answered.
    Poco::Net::HTTPResponse head;
    std::string body;
    /// What the target did wrong on the connection, or the bound that it exceeded; empty when nothing is known.
    std::string fault;
    /// Keeps the room that the body takes; may be null.
    std::shared_ptr<void const> memory;
};

/// Ends a running operation; does nothing after its end.
using Canceller = std::function<void()>;

} // namespace Toucan
