#pragma once

#include "Bench/CallerPool.h"
#include "Bench/HistoryWriter.h"
#include "Bench/LoadPlan.h"
#include "Bench/LoadReport.h"

#include <json/value.h>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Toucan::Bench {

/// Sends planned arrivals to the nodes at their times, whatever the answers do (open loop), and notes each answer.
class LoadGenerator {
public:
    /// Throws Error of kind InvalidSettings.
    LoadGenerator(BenchLoop& loop, LoadSettings settings, std::vector<Arrival> arrivals);

    /// Stops the loop when the last request has ended.
    void start();
    LoadReport const& report() const { return this->loadReport; }

private:
    struct Node {
        std::string name;
        std::unique_ptr<CallerPool> callers;
        /// Null when the node is always used.
        std::unique_ptr<CallerPool> admin;
        bool ready { true };
    };
    struct Request {
        std::string requestId;
        std::string requestKey;
        std::string service;
        std::string node;
        LoadKind kind { LoadKind::Query };
        Milliseconds scheduled;
        Milliseconds wallClock;
        bool measured { true };
    };

    void pollReadiness(Node& node);
    void sendDue();
    void scheduleNext();
    void send(Arrival const& arrival, Node& node, std::string const& key);
    void onAnswer(Request const& request, std::optional<HttpResponse>&& response, CallFailure failure);
    void stopWhenDone();
    /// A ready node other than `except`, if there is one.
    Node& chooseNode(Node const* except);
    std::string createUuid();

    BenchLoop& loop;
    LoadSettings settings;
    std::vector<Arrival> arrivals;
    HistoryWriter history;
    LoadReport loadReport;
    std::vector<Node> nodes;
    std::mt19937_64 random;
    Milliseconds startedAt;
    size_t next { 0 };
    size_t running { 0 };
};

} // namespace Toucan::Bench
