#include "Gateway/NodeCounter.h"

#include "Base/Hash.h"
#include <algorithm>
#include <set>
#include <utility>

namespace Toucan {

/// A node asks a relay at least each second, and one whose state is outdated, as in an outage of the registry, at least
/// each 5 s.
constexpr Milliseconds nodeLifetime { 6000 };
/// The nodes of a relay that no longer reports are counted for longer: they may still run where only the relays have
/// lost contact with each other.
constexpr Milliseconds reportLifetime { 30000 };
/// Bounds the memory; a deployment has a few relays.
constexpr size_t maximumReports = 16;

NodeCounter::NodeCounter(Milliseconds startedAt)
    : startedAt(startedAt)
{
}

void NodeCounter::onSeen(std::string_view node, Milliseconds now)
{
    this->lastSeen[static_cast<uint32_t>(hash64(node))] = now;
}

void NodeCounter::onReport(std::string const& relay, std::vector<uint32_t> nodes, Milliseconds now)
{
    if (this->reports.size() < maximumReports || this->reports.contains(relay))
        this->reports[relay] = { std::move(nodes), now };
}

std::vector<uint32_t> NodeCounter::seenHere(Milliseconds now)
{
    std::erase_if(this->lastSeen, [now](auto const& entry) { return now - entry.second > nodeLifetime; });
    std::vector<uint32_t> nodes;
    for (auto const& [node, at] : this->lastSeen)
        nodes.push_back(node);
    return nodes;
}

std::optional<uint32_t> NodeCounter::count(Milliseconds now)
{
    if (now - this->startedAt < nodeLifetime)
        return std::nullopt;
    std::erase_if(this->reports, [now](auto const& entry) { return now - entry.second.at > reportLifetime; });
    auto const here = this->seenHere(now);
    std::set<uint32_t> nodes(here.begin(), here.end());
    for (auto const& [relay, report] : this->reports)
        nodes.insert(report.nodes.begin(), report.nodes.end());
    return static_cast<uint32_t>(nodes.size());
}

} // namespace Toucan
