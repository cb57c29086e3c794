#include "Gateway/RegistrySync.h"

#include <algorithm>
#include <utility>

namespace Toucan {

uint32_t RegistrySync::estimatedNodes() const
{
    if (this->countedNodes)
        return *this->countedNodes;
    auto const stored = this->storedNodes.stored().value_or(0);
    if (this->relayCount == 0)
        return stored;
    auto largestCount = this->followers;
    for (auto const& relay : this->relays)
        largestCount = std::max(largestCount, relay->followers);
    return std::max(static_cast<uint32_t>(this->relayCount) * (largestCount + 1), stored);
}

ExtraAttemptAllowance::Nodes RegistrySync::knownNodes() const
{
    using Source = ExtraAttemptAllowance::Nodes::Source;
    if (this->countedNodes)
        return { *this->countedNodes, Source::Counted };
    return { this->storedNodes.stored().value_or(0), Source::Stored };
}

void RegistrySync::updateNodes(std::optional<uint32_t> counted)
{
    if (counted)
        this->countedNodes = counted;
    auto const nodes = this->countedNodes.value_or(std::max(this->assumedNodes, this->estimatedNodes()));
    auto const before = this->context.directory.sharingNodes();
    if (nodes == before)
        return;
    this->context.directory.setSharingNodes(nodes, this->now());
    this->context.log.line("nodes-counted",
        { { "nodes", std::to_string(nodes) }, { "before", std::to_string(before) },
            { "source",
                this->countedNodes                        ? "relays"
                    : this->storedNodes.stored() == nodes ? "store"
                                                          : "estimate" } });
}

void RegistrySync::storeNodes(std::optional<uint32_t> counted, bool isFirstRelay)
{
    if (!this->hooks.writeNodes)
        return;
    auto const nodes = this->storedNodes.takeWrite({ counted, isFirstRelay, this->connected }, this->now());
    if (!nodes)
        return;
    this->context.metrics.count("node_count_writes");
    this->hooks.writeNodes(*nodes, [this, nodes = *nodes](std::string const& failure) {
        this->context.log.line("nodes-stored",
            { { "nodes", std::to_string(nodes) }, { "outcome", failure.empty() ? "written" : "failed" },
                { "why", failure } });
    });
}

void RegistrySync::applyNodeCount(std::string const& key, NodeCountPut const& put)
{
    if (!put.fault.empty())
        this->logUnusable({ key, "", put.fault });
    this->storedNodes.onStored(put.nodes);
    this->updateNodes({});
}

void RegistrySync::setAssumedNodes(uint32_t count)
{
    this->assumedNodes = count;
    this->updateNodes({});
}

void RegistrySync::applyRoster(RegistryEvent const& event, RosterPut const& put)
{
    if (!put.fault.empty())
        this->logUnusable({ event.key, "", put.fault });
    this->hasRoster = put.roster.has_value();
    if (this->hooks.rosterRead)
        this->hooks.rosterRead(put.roster, event.revision);
}

void RegistrySync::writeRoster(RelaySuccession::Write const& write)
{
    if (!this->hooks.writeRoster)
        return;
    this->context.metrics.count("relay_roster_writes");
    this->hooks.writeRoster(write.expectedRevision, write.roster,
        [this, term = write.roster.term, reason = std::string(write.reason)](std::string const& failure) {
            this->context.log.line("relay-roster-written",
                { { "term", std::to_string(term) }, { "reason", reason },
                    { "outcome", failure.empty() ? "written" : "failed" }, { "why", failure } },
                DecisionLog::Delivery::Always);
        });
}

} // namespace Toucan
