#include "SpreadSimulation.h"

#include <algorithm>
#include <utility>

namespace Toucan {

/// Timers fire up to one tick late. Shorter ticks make the run too long, because the cost grows with nodes squared.
static constexpr Milliseconds tick { 25 };
/// In this time each node has checked all others once.
static constexpr Milliseconds warmUp { 15'000 };
static constexpr Milliseconds pauseBetweenVersions { 700 };
static constexpr Milliseconds versionTimeout { 20'000 };

SpreadSimulation::SpreadSimulation(SpreadSettings const& simulationSettings)
    : settings(simulationSettings)
    , size { simulationSettings.nodes, 12, 3 }
    , document(fleetDocument(this->size))
{
    this->nodes.reserve(this->size.nodes);
    for (uint32_t index = 0; index < this->size.nodes; ++index) {
        this->nodes.push_back(std::make_unique<CollectingNode>(this->size, index));
        this->indexes[nodeName(index)] = index;
    }
    for (auto const& node : this->nodes) {
        node->now = this->now;
        this->install(*node, 1);
        node->hearAllPeers(this->size);
        node->hearOwners(this->size);
        node->frames.clear();
    }
}

void SpreadSimulation::install(CollectingNode& node, uint64_t version)
{
    node.core.currentTime = node.now;
    node.core.configurationState.onUpdate(updateOf(this->document, version), node.now);
    node.core.settle(node.now);
}

void SpreadSimulation::post(CollectingNode& node, Milliseconds extraDelay)
{
    for (auto& [peer, frame] : std::exchange(node.frames, {})) {
        auto const found = this->indexes.find(peer);
        if (found == this->indexes.end())
            continue;
        this->deliveries.push({ this->now + this->settings.delay + extraDelay, ++this->sent, found->second,
            std::make_shared<Json::Value const>(std::move(frame)) });
    }
}

void SpreadSimulation::deliver(Delivery const& delivery)
{
    auto& node = *this->nodes[delivery.receiver];
    node.now = this->now;
    node.core.currentTime = this->now;
    auto const before = node.core.configurationState.version();
    node.core.onFrame(*delivery.frame, this->now);
    node.core.settle(this->now);
    bool const installed = node.core.configurationState.version() > before;
    this->post(node, installed ? this->settings.installTime : Milliseconds {});
}

void SpreadSimulation::step()
{
    auto const end = this->now + tick;
    while (!this->deliveries.empty() && this->deliveries.top().time <= end) {
        auto const delivery = this->deliveries.top();
        this->deliveries.pop();
        this->now = delivery.time;
        this->deliver(delivery);
    }
    this->now = end;
    for (auto const& node : this->nodes) {
        if (node->core.nextWakeup() > this->now)
            continue;
        node->now = this->now;
        node->core.currentTime = this->now;
        node->core.advance(this->now);
        node->core.settle(this->now);
        this->post(*node, {});
    }
}

bool SpreadSimulation::isEverywhere(uint64_t version) const
{
    return std::ranges::all_of(
        this->nodes, [version](auto const& node) { return node->core.configurationState.version() >= version; });
}

Json::Value SpreadSimulation::run()
{
    for (auto const end = this->now + warmUp; this->now < end;)
        this->step();
    std::vector<double> times;
    uint32_t late = 0;
    for (uint64_t version = 2; version < 2 + this->settings.versions; ++version) {
        for (auto const end = this->now + pauseBetweenVersions; this->now < end;)
            this->step();
        auto& targets = this->document["services"]["small-1"]["targets"];
        targets[targets.getMemberNames().front()]["slots"] = static_cast<Json::UInt64>(version);
        auto const start = this->now;
        auto& first = *this->nodes.front();
        first.now = this->now;
        this->install(first, version);
        this->post(first, this->settings.installTime);
        while (!this->isEverywhere(version) && this->now - start < versionTimeout)
            this->step();
        late += this->isEverywhere(version) ? 0 : 1;
        times.push_back((this->now - start + this->settings.installTime).value);
    }
    std::ranges::sort(times);
    Json::Value result;
    result["nodes"] = this->size.nodes;
    result["versions"] = this->settings.versions;
    result["delayMs"] = this->settings.delay.value;
    result["installMs"] = this->settings.installTime.value;
    result["p50Ms"] = times[times.size() / 2];
    result["maxMs"] = times.back();
    result["notInForceAfterTimeout"] = late;
    return result;
}

} // namespace Toucan
