#pragma once

#include "Base/Clock.h"
#include "Workspaces/Workspace.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Toucan {

/// Whether a request that may have run may be sent again (RFC 9110, section 9.2.2).
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
    /// Time limit for the answer to a request; a shorter one that the caller states applies instead.
    Milliseconds timeout;
    /// Latency objective: answers that take longer count as late.
    Milliseconds objective;
    /// Largest number of attempts of one request, or of one part of it, that may have run at a target.
    uint32_t maximumRuns { 1 };
    /// 0 is the highest. Used while the targets are congested, in configurations with workspaces only; a workspace's
    /// own priority replaces it.
    uint32_t priority { 0 };
    /// Services of a forwarded route; several share the requests by weight. Empty for a scattered route.
    std::vector<WeightedService> services;
    /// Services of a scattered route, one for each shard; empty for a forwarded route.
    std::vector<std::string> shards;
    /// Largest number of records in the merged answer of a scattered route.
    size_t recordLimit { 0 };
    /// Smallest share of the shards that suffices for an answer, 0 to 1.
    double minimumCoverage { 1 };
    /// Whether requests need no key of a workspace although the configuration has workspaces.
    bool isPublic { false };

    bool isScattered() const { return !this->shards.empty(); }
};

struct GatewayService {
    std::string name;
    /// Connections that one target accepts from all callers together.
    uint32_t connectionLimit { 1 };
    /// Requests per second that a target accepts from all nodes together while it warms up; 0 for no bound.
    double coldRate { 0 };
};

/// Limits on callers' requests and connections.
struct CallerLimits {
    /// Largest start line and header fields together, in bytes.
    size_t headerBytes { 16384 };
    /// Largest body, in bytes.
    size_t bodyBytes { 262144 };
    /// Time from the first byte of a request to its last.
    Milliseconds requestTimeout { 3000 };
    /// Time without a request after which a connection is closed.
    Milliseconds idleTimeout { 15000 };

    bool operator==(CallerLimits const&) const = default;
};

/// One version of the routing configuration; immutable once it is in force.
struct RoutingConfiguration {
    uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<GatewayService> services;
    CallerLimits limits;
    std::vector<Workspace> workspaces {};
    /// Whether requests need the key of a workspace, also when the last workspace has been removed.
    bool needsKeys { false };
};

} // namespace Toucan
