#pragma once

#include "Base/Clock.h"
#include "Workspaces/Workspace.h"

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
    /// Time that the sender will still wait for the answer, in milliseconds.
    std::string deadline { "Toucan-Deadline-Ms" };
    /// Identifies an answer of a target; present in every answer that the target itself generated.
    std::string signature { "Toucan-Signature" };
    /// Field in which callers send the key of their workspace, as "SCHEME KEY"; targets never receive it.
    std::string credentials { "Authorization" };
    std::string credentialsScheme { "Token" };
    /// Name of the caller's workspace, for targets.
    std::string workspace { "Toucan-Workspace" };
    /// Id of the target for which the request is intended.
    std::string expectedTarget { "Toucan-Expect-Target" };
    /// Running requests, waiting requests, slots and, when the target knows it, the present processing time in percent
    /// of the usual one; separated by commas.
    std::string load { "Toucan-Load" };
    /// Present when the target did not run the request.
    std::string notRun { "Toucan-Not-Run" };
    std::string retryAfter { "Retry-After" };
    /// Present in every answer of a target that is about to stop.
    std::string leaving { "Toucan-Leaving" };
    /// Present in the answers of a target that limits its load: the requests per second, a decimal number, that it
    /// accepts from all nodes together.
    std::string rateLimit { "Toucan-Rate-Limit" };
    /// Signatures of the parts in a merged answer, separated by commas.
    std::string partSignatures { "Toucan-Part-Signatures" };
    /// Number of shards that are missing in a merged answer.
    std::string missingParts { "Toucan-Missing-Parts" };
};

/// A complete request of a caller.
struct ProxiedRequest {
    Poco::Net::HTTPRequest head;
    std::string body;
    /// Holds the buffer space that is reserved for the body; may be null.
    std::shared_ptr<void const> memory;
    /// Network time of the request and its answer. The latency that the caller measures includes it, so a partial
    /// answer is sent that much earlier.
    Milliseconds transitTime { 4 };
    /// Workspace that the caller's key names; null without one.
    std::shared_ptr<Workspace const> workspace {};
};

/// A complete answer to a caller; the session sets Content-Length and Connection.
struct ProxiedAnswer {
    Poco::Net::HTTPResponse head;
    std::string body;
    /// Holds the buffer space that is reserved for the body; may be null.
    std::shared_ptr<void const> memory;
};

/// Estimated memory in bytes of a request and its attempts when it is sent to `parts` targets concurrently.
size_t estimateMemory(ProxiedRequest const& request, size_t parts);

/// One request to one target.
struct AttemptMessage {
    /// IP address and port.
    std::string address;
    /// Largest number of connections that this node may have open to the address.
    uint32_t connections { 1 };
    Poco::Net::HTTPRequest head;
    std::shared_ptr<std::string const> body;
    Milliseconds timeout;
    /// Largest body that the answer may have, in bytes; 0 for the limit of the HTTP client.
    size_t bodyLimit { 0 };
    /// Whether the request must use a new connection: the target may close an idle one while the request is in transit,
    /// which would leave the outcome unknown.
    bool needsFreshConnection { false };
    /// Whether the request may wait at this node when no connection to the target is free.
    bool mayWait { true };
    /// Called when a connection, which may still have to be established, is assigned to the request.
    std::function<void()> assigned;
    /// Whether the target may still receive the request; asked just before the request is sent.
    std::function<bool()> maySend;
    /// Called just before the request is sent; may update the remaining time after a wait for a connection.
    std::function<void(Poco::Net::HTTPRequest&)> beforeSending;
    /// Called with the head of each response on the connection, also when its body does not arrive or when it answers
    /// another request.
    std::function<void(Poco::Net::HTTPResponse const&)> onResponseHead;
    /// Whether a response belongs to this attempt and not to an earlier one on the same connection.
    std::function<bool(Poco::Net::HTTPResponse const&, bool firstOnConnection)> isOwnResponse;
};

/// How one attempt ended, with the answer if there is one.
struct AttemptReply {
    enum class Transport {
        Answered,
        /// No byte of the request was sent.
        NotSent,
        /// No byte of the request was sent, because the target accepts no more connections.
        Rejected,
        /// No byte of the request was sent, because AttemptMessage::maySend declined.
        Withdrawn,
        /// The connection ended, or the response was not valid, after bytes were sent.
        Broken,
        /// No complete response arrived in time after bytes were sent.
        TimedOut,
    };
    Transport transport { Transport::NotSent };
    /// Valid with Answered.
    Poco::Net::HTTPResponse head;
    std::string body;
    /// The target's protocol error, or the limit that its response exceeded; empty when nothing is known.
    std::string fault;
    /// Holds the buffer space that is reserved for the body; may be null.
    std::shared_ptr<void const> memory;
};

/// Cancels a running operation; does nothing after it has ended.
using Canceller = std::function<void()>;

} // namespace Toucan
