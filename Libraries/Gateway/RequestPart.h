#pragma once

#include "Gateway/GatewayMessages.h"
#include "Gateway/TargetDirectory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// Why a request is sent to a target.
enum class AttemptReason {
    First,
    Retry,
    Hedge,
};

/// One request to one target, for a part of a caller's request.
struct RequestAttempt {
    TargetDirectory::TargetPointer target;
    /// Time at which the target was chosen.
    Milliseconds sentAt;
    Canceller cancel;
    bool running { true };
    /// Whether a connection, which may still have to be established, is assigned to the attempt.
    bool onConnection { false };
    /// Whether the request was written to a connection.
    bool sent { false };
    /// Whether it has a permit under the target's rate limit.
    bool hasPermit { false };
    /// Time at which an extra attempt was taken from the budget for it; empty when it needed none.
    std::optional<Milliseconds> extraTakenAt {};
    bool isHedge { false };
    /// Whether the target reset the new connection before anything was sent.
    bool rejected { false };
};

/// The part of a caller's request that goes to one service.
struct RequestPart {
    enum class State {
        /// An attempt may still succeed.
        Waiting,
        /// A target's success has arrived.
        Succeeded,
        /// The part has failed and will be missing from the answer.
        Missing,
        /// The part has not been sent; it is missing from the answer unless other parts fail.
        Omitted,
    };
    std::string service;
    State state { State::Waiting };
    std::vector<RequestAttempt> attempts;
    /// Ended attempts that ran or may have run.
    uint32_t runs { 0 };
    /// Attempts that sent, or may still send, bytes to a target, whether or not it ran the request.
    uint32_t sentAttempts { 0 };
    /// Time at which the part is hedged; empty while no hedge is planned.
    std::optional<Milliseconds> hedgeAt;
    /// Signature and greatest records of the successful answer to a part of a scattered request.
    std::string signature;
    std::string body;
    /// Answer of the target of a forwarded request: its success, or the failure that is forwarded when no other
    /// attempt succeeds.
    std::optional<AttemptReply> reply;
    /// When a target may be available again, for a part that found none; empty when that is not known.
    std::optional<Milliseconds> retryAt;

    size_t runningAttempts() const;
    /// Ended attempts whose connections were reset before anything was sent.
    size_t rejectedAttempts() const;
};

} // namespace Toucan
