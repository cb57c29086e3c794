#pragma once

#include "EngineFleet.h"

#include <json/value.h>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucan {

struct SpreadSettings {
    uint32_t nodes { 470 };
    uint32_t versions { 20 };
    /// One-way delay between nodes, with the time that a busy node takes to read a frame.
    Milliseconds delay { 5 };
    /// Time for which a node that installs a version sends nothing.
    Milliseconds installTime { 25 };
};

/// The engines of a whole fleet in virtual time. New versions reach only the first node, as if it were the one watcher
/// left, and spread from there by digests and fetches.
class SpreadSimulation {
public:
    explicit SpreadSimulation(SpreadSettings const& settings);

    /// Milliseconds of virtual time until each version was in force everywhere: median and greatest.
    Json::Value run();

private:
    struct Delivery {
        Milliseconds time;
        uint64_t number { 0 };
        uint32_t receiver { 0 };
        std::shared_ptr<Json::Value const> frame;
        bool operator>(Delivery const& other) const
        {
            return this->time != other.time ? this->time > other.time : this->number > other.number;
        }
    };

    void step();
    void deliver(Delivery const& delivery);
    void post(CollectingNode& node, Milliseconds extraDelay);
    void install(CollectingNode& node, uint64_t version);
    bool isEverywhere(uint64_t version) const;

    SpreadSettings settings;
    FleetSize size;
    Json::Value document;
    Milliseconds now { 1000 };
    std::vector<std::unique_ptr<CollectingNode>> nodes;
    std::unordered_map<std::string, uint32_t> indexes;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries;
    uint64_t sent { 0 };
};

} // namespace Toucan
