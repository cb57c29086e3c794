#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Toucan {

/// Largest number of asks in one message.
constexpr size_t maximumQuotaAsks = 1000;

/// What a node needs of one limit.
struct QuotaAsk {
    std::string limit;
    /// Tokens for requests that wait.
    uint32_t waiting { 0 };
    /// Tokens for requests that are expected.
    uint32_t ahead { 0 };
    /// Requests per second that the sender sees, including those that it refuses.
    double demand { 0 };
};

/// A message from a node, or from a relay to another one.
struct QuotaRequest {
    /// Version of the configuration that the sender holds.
    uint64_t configuration { 0 };
    std::string node;
    /// Whether a relay asks; it is answered from the receiver's own bucket only.
    bool fromRelay { false };
    std::vector<QuotaAsk> asks;
};

/// Tokens of one limit.
struct QuotaGrant {
    std::string limit;
    uint32_t tokens { 0 };
    /// The receiver counts it from the time at which it sent its request.
    Milliseconds life {};
    /// Requests per second of all nodes.
    double demand { 0 };
    /// Limit in requests per second; 0 when the limit is not known.
    double rate { 0 };
    /// When tokens can be expected; 0 when all that were asked for were granted.
    Milliseconds retryAfter {};
};

struct QuotaAnswer {
    /// Version of the configuration by which the issuer decided.
    uint64_t configuration { 0 };
    std::vector<QuotaGrant> grants;
};

} // namespace Toucan
