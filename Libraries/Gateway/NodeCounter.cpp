#include "Gateway/NodeCounter.h"

#include "Base/Hash.h"

namespace Toucan {

/// A node asks a relay at least each second, and turns to another one within three seconds when it does not answer.
constexpr Milliseconds nodeLifetime { 6000 };
/// The nodes of a relay that no longer reports are counted for longer: they may still run where only the relays have
/// lost contact with each other.
constexpr Milliseconds reportLifetime { 30000 };
/// A relay counts each second. After a longer gap it was paused, and has not heard nodes that may still run.
constexpr Milliseconds maximumCountGap { 3000 };
/// Bounds the memory; a deployment has a few relays.
constexpr size_t maximumReports = 16;

NodeCounter::NodeCounter(Milliseconds startedAt)
    : startedAt(startedAt)
    , lastCount(startedAt)
{
}

void NodeCounter::onSeen(std::string_view node, Milliseconds now)
{
    this->lastSeen[static_cast<uint32_t>(hash64(node))] = now;
}

void NodeCounter::onReport(NodeReport const& report, Milliseconds now)
{
    if (this->reports.size() >= maximumReports && !this->reports.contains(report.relay))
        return;
    auto& received = this->reports[report.relay];
    if (report.isComplete)
        received.nodes.clear();
    received.nodes.insert(report.nodes.begin(), report.nodes.end());
    received.at = now;
}

void NodeCounter::keepAbsent(Milliseconds now) { this->keptUntil = now + nodeLifetime; }

bool NodeCounter::isComplete(Milliseconds now) const { return now - this->startedAt >= nodeLifetime; }

void NodeCounter::removeAbsent(Milliseconds now)
{
    if (now - this->lastCount > maximumCountGap) {
        this->keepAbsent(now);
        for (auto& [relay, received] : this->reports)
            received.at = now;
    }
    this->lastCount = now;
    std::erase_if(this->reports, [now](auto const& entry) { return now - entry.second.at > reportLifetime; });
    if (now >= this->keptUntil)
        std::erase_if(this->lastSeen, [now](auto const& entry) { return now - entry.second > nodeLifetime; });
}

NodeReport NodeCounter::report(std::string const& name, Milliseconds now)
{
    this->removeAbsent(now);
    NodeReport report { name, {}, this->isComplete(now), {} };
    for (auto const& [node, at] : this->lastSeen)
        report.nodes.push_back(node);
    return report;
}

std::optional<uint32_t> NodeCounter::count(Milliseconds now)
{
    if (!this->isComplete(now))
        return std::nullopt;
    this->removeAbsent(now);
    std::set<uint32_t> nodes;
    for (auto const& [node, at] : this->lastSeen)
        nodes.insert(node);
    for (auto const& [relay, received] : this->reports)
        nodes.insert(received.nodes.begin(), received.nodes.end());
    return static_cast<uint32_t>(nodes.size());
}

} // namespace Toucan
