#pragma once

#include "Bench/LatencyHistogram.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>

namespace Toucan::Bench {

/// Result of one request.
struct LoadSample {
    std::string service;
    /// HTTP status, or 0 when no valid response was received.
    int status { 0 };
    /// "outcome" of the answer; "unknown" without one, "not-sent" when no connection was established.
    std::string outcome;
    /// Merged shards divided by all shards; 0 unless the status is 200.
    double coverage { 0 };
    /// Measured from the scheduled time of the request.
    Milliseconds latency;
};

/// Latencies, coverage, statuses and goodput by service and in total.
class LoadReport {
public:
    /// `measured` is the length of the run without its warm-up; rates refer to it.
    LoadReport(Milliseconds measured, Milliseconds objective)
        : measured(measured)
        , objective(objective)
    {
    }

    void add(LoadSample const& sample);
    /// Object with one member for each service and "total".
    Json::Value json() const;
    /// The same as text with aligned columns.
    std::string table() const;

private:
    struct Row {
        /// Of the answers with status 200.
        LatencyHistogram answerLatencies;
        std::map<int, uint64_t> statuses;
        std::map<std::string, uint64_t> outcomes;
        uint64_t sent { 0 };
        /// Answers with status 200 that have all shards.
        uint64_t complete { 0 };
        /// Complete answers within the objective.
        uint64_t good { 0 };
        /// Requests with the outcome "not-run".
        uint64_t refused { 0 };
        /// Sum over all requests; describe() divides it by `sent`.
        double coverage { 0 };
    };

    Json::Value describe(Row const& row) const;

    Milliseconds measured;
    Milliseconds objective;
    std::map<std::string, Row> rows;
};

} // namespace Toucan::Bench
