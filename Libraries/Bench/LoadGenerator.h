#pragma once

#include "Bench/HistoryWriter.h"
#include "Bench/HttpConnectionPool.h"
#include "Bench/LoadPlan.h"
#include "Bench/LoadReport.h"

#include <json/value.h>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Toucan::Bench {

/// Open-loop load generator: sends each planned arrival at its time regardless of outstanding answers, and records each
/// answer in the history.
class LoadGenerator {
public:
    /// Throws Error of kind InvalidSettings.
    LoadGenerator(BenchLoop& loop, LoadSettings settings, std::vector<Arrival> arrivals);

    /// Schedules the arrivals. Stops the loop when the last request has been answered or has failed.
    void start();
    LoadReport const& report() const { return this->loadReport; }

private:
    struct Node {
        std::string name;
        std::unique_ptr<HttpConnectionPool> requestConnections;
        /// Null when the readiness of the node is not polled.
        std::unique_ptr<HttpConnectionPool> adminConnections;
        bool ready { true };
    };
    struct Request {
        std::string requestId;
        std::string requestKey;
        std::string service;
        std::string node;
        LoadKind kind { LoadKind::Query };
        /// Planned time, on the clock of Clock::now().
        Milliseconds scheduled;
        /// The same time since the Unix epoch.
        Milliseconds wallClock;
        /// False during the warm-up.
        bool measured { true };
    };

    void pollReadiness(Node& node);
    void sendDueArrivals();
    void scheduleNext();
    void send(Arrival const& arrival, Node& node, std::string const& key);
    void onAnswer(Request const& request, std::optional<HttpResponse>&& response, CallFailure failure);
    void stopWhenDone();
    /// A random ready node other than `excluded`; the first node when there is none.
    Node& chooseNode(Node const* excluded);
    std::string createUuid();

    BenchLoop& loop;
    LoadSettings settings;
    std::vector<Arrival> arrivals;
    HistoryWriter history;
    LoadReport loadReport;
    std::vector<Node> nodes;
    std::mt19937_64 random;
    Milliseconds startedAt;
    size_t nextArrival { 0 };
    size_t unansweredRequests { 0 };
};

} // namespace Toucan::Bench
