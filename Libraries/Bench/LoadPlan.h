#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace Toucan::Bench {

enum class LoadKind {
    Query,
    Command,
};

/// One entry of "mix": requests of one kind to one service.
struct LoadStream {
    std::string service;
    LoadKind kind { LoadKind::Query };
    /// Requests per second.
    double rate { 0 };
    /// Empty to use the priority of the service's rule.
    std::string priority;
    /// Zero to use the deadline of the service's rule.
    Milliseconds deadline;
    /// Share of the commands that are sent to two nodes at once with the same key, 0 to 1.
    double duplicates { 0 };
};

/// From `at` (time since the start of the run) on, all rates are those of the mix times `factor`, until the next step.
/// Steps must be ordered by time.
struct RateStep {
    Milliseconds at;
    double factor { 1 };
};

struct LoadNode {
    std::string name;
    std::string address;
    /// Address that serves /ready; when empty, the node counts as ready at all times.
    std::string admin;
};

struct LoadSettings {
    uint64_t seed { 1 };
    Milliseconds duration { 10000 };
    /// Requests scheduled before this time are in the history, but not in the report.
    Milliseconds warmup;
    /// Time after which a request counts as unanswered.
    Milliseconds timeout { 10000 };
    /// Maximum number of connections to one node; further requests wait, and the wait counts as latency.
    uint32_t connections { 100 };
    /// A complete answer within this time counts as good.
    Milliseconds objective { 59 };
    /// Path of the history file.
    std::string history;
    std::vector<LoadNode> nodes;
    std::vector<LoadStream> mix;
    std::vector<RateStep> steps;

    /// Throws Error of kind InvalidSettings.
    static LoadSettings parse(Json::Value const& settings);
};

/// One scheduled request.
struct Arrival {
    /// Time since the start of the run.
    Milliseconds at;
    std::string service;
    LoadKind kind { LoadKind::Query };
    std::string priority;
    Milliseconds deadline;
    /// Sent to two nodes at once.
    bool duplicated { false };
};

/// Poisson arrivals of all streams, ordered by time; equal settings give equal arrivals. Throws Error of kind
/// LimitExceeded when there are more than 5,000,000.
std::vector<Arrival> planArrivals(LoadSettings const& settings);

/// Trace files hold one arrival per line as JSON. Both functions throw Error of kind InvalidSettings when the file
/// cannot be written or read. For an invalid line, replayTrace() throws Error of kind InvalidInput or InvalidSettings,
/// or Json::Exception.
void recordTrace(std::string const& path, std::vector<Arrival> const& arrivals);
std::vector<Arrival> replayTrace(std::string const& path);

} // namespace Toucan::Bench
