#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Toucan {

/// Whether a request may be sent to a target again (RFC 9110, section 9.2.2).
enum class Repeatability {
    Idempotent,
    NonIdempotent,
};

struct WeightedService {
    std::string service;
    double weight { 1 };
};

/// How the requests of one host and path prefix are handled.
struct Route {
    std::string name;
    /// Host header without port, lower case.
    std::string host;
    std::string pathPrefix;
    Repeatability repeatability { Repeatability::NonIdempotent };
    /// Longest time that a request may be kept waiting.
    Milliseconds timeout;
    /// Time within which an answer has its full value.
    Milliseconds objective;
    /// Most targets that one request, or one part of it, may be sent to.
    uint32_t maximumAttempts { 1 };
    /// 0 is the highest.
    uint32_t priority { 0 };
    /// One entry for a plain route; several share the requests by weight. Empty for a scattered route.
    std::vector<WeightedService> services;
    /// Services that each hold one shard; empty for a forwarded route.
    std::vector<std::string> shards;
    /// Most records in the merged answer of a scattered route.
    size_t recordLimit { 0 };
    /// Least share of the shards that makes an answer.
    double minimumCoverage { 1 };

    bool isScattered() const { return !this->shards.empty(); }
};

struct GatewayService {
    std::string name;
    /// Connections that one target accepts from all callers together.
    uint32_t connectionLimit { 1 };
};

/// Bounds on what callers may send.
struct CallerLimits {
    size_t headerBytes { 16384 };
    size_t bodyBytes { 262144 };
    /// Time from the first byte of a request to its last.
    Milliseconds requestTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    bool operator==(CallerLimits const&) const = default;
};

/// One version of the operators' routing, immutable once it is in force.
struct RoutingConfiguration {
    uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<GatewayService> services;
    CallerLimits limits;
};

} // namespace Toucan
