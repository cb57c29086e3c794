#pragma once

#include "Succession/IssuingShare.h"
#include "Succession/RelaySuccession.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Toucan {

/// Nodes that hold a registry's roster of relays, on a simulated clock in steps of 100 ms.
class SuccessionWorld {
public:
    struct Node {
        std::string address {};
        std::vector<std::string> configured {};
        bool runs { true };
        /// A paused node takes no step, and its steady clock stands still.
        bool isPaused { false };
        /// Share of the steps in which calls to the registry succeed.
        double registryAccess { 1 };
        /// Nodes of different sides don't reach each other.
        int side { 0 };
        Milliseconds steady { 0 };
        uint64_t seenRevision { 0 };
        /// Whether it has read the configuration, without which it knows no limits.
        bool isLoaded { false };
        Milliseconds followedAt { -100000 };
        Milliseconds connectedAt { -100000 };
        uint32_t knownNodes { 0 };
        Milliseconds settledSince {};
        /// Last answer of each relay.
        std::map<std::string, Milliseconds> answeredAt {};
        std::unique_ptr<RelaySuccession> succession {};
        std::unique_ptr<IssuingShare> issuing {};
    };

    SuccessionWorld(uint64_t seed, size_t nodeCount, size_t relayCount)
        : random(seed)
        , counted(static_cast<uint32_t>(nodeCount))
    {
        for (size_t index = 0; index < nodeCount; ++index) {
            Node node { "node-" + std::to_string(index) };
            for (size_t relay = 0; relay < relayCount; ++relay)
                node.configured.push_back("node-" + std::to_string(relay));
            this->nodes.push_back(std::move(node));
            this->start(index);
        }
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void start(size_t index)
    {
        auto& node = this->nodes[index];
        node.runs = true;
        node.isPaused = false;
        node.seenRevision = 0;
        node.isLoaded = false;
        node.followedAt = node.connectedAt = { -100000 };
        node.knownNodes = 0;
        node.settledSince = this->now;
        node.answeredAt.clear();
        node.succession = std::make_unique<RelaySuccession>(
            RelaySuccession::Options { node.address, node.configured, [this] { return this->uniform(); } });
        node.issuing = std::make_unique<IssuingShare>(
            IssuingShare::Options { node.address, node.configured, this->now, node.address });
    }

    void run(Milliseconds time)
    {
        for (auto const end = this->now + time; this->now < end; this->now += 100_ms) {
            for (auto& node : this->nodes) {
                if (node.runs && !node.isPaused)
                    this->step(node);
            }
            auto const sum = this->sumOfShares();
            if (sum > this->largestSum) {
                this->largestSum = sum;
                this->largestSumAt = this->now;
            }
        }
    }

    double shareOf(Node& node)
    {
        bool const issues = node.runs && !node.isPaused && node.isLoaded;
        return issues ? node.issuing->share(node.knownNodes, this->now) : 0;
    }
    double sumOfShares()
    {
        double sum = 0;
        for (auto& node : this->nodes)
            sum += this->shareOf(node);
        return sum;
    }

    std::mt19937_64 random;
    /// The number of nodes that relays have counted and stored.
    uint32_t counted;
    std::vector<Node> nodes;
    std::optional<RelayRoster> stored;
    uint64_t revision { 0 };
    bool registryRuns { true };
    uint64_t writes { 0 };
    Milliseconds now { 0 };
    double largestSum { 0 };
    Milliseconds largestSumAt;

private:
    Node* find(std::string const& address)
    {
        auto const found = std::find_if(
            this->nodes.begin(), this->nodes.end(), [&](Node const& node) { return node.address == address; });
        return found == this->nodes.end() ? nullptr : &*found;
    }
    bool reaches(Node const& from, Node const* to) const
    {
        return to && to->runs && !to->isPaused && to->side == from.side;
    }

    void apply(std::optional<RelayRoster> const& roster, Node& node)
    {
        node.succession->onRoster(roster, node.seenRevision, node.steady);
        if (auto const* const current = node.succession->roster())
            node.issuing->onRoster(*current, this->now);
        auto const relays = node.succession->relays();
        std::erase_if(node.answeredAt, [&](auto const& entry) {
            bool const isFormer = std::find(relays.begin(), relays.end(), entry.first) == relays.end();
            if (isFormer)
                node.settledSince = std::max(node.settledSince, entry.second);
            return isFormer;
        });
    }
    /// A node that doesn't reach the registry takes the state of a relay.
    void copy(Node& relay, Node& node)
    {
        node.isLoaded = true;
        node.knownNodes = relay.knownNodes;
        if (node.seenRevision < relay.seenRevision) {
            node.seenRevision = relay.seenRevision;
            this->apply(*relay.succession->roster(), node);
        }
        if (auto const age = relay.issuing->confirmedAge(this->now))
            node.issuing->onConfirmed(this->now - *age);
    }
    void step(Node& node)
    {
        node.steady += 100_ms;
        bool const connected = this->registryRuns && this->uniform() < node.registryAccess;
        // A relay watches the registry; the others do while no relay answers.
        bool hasRelay = false;
        for (auto const& address : node.succession->relays()) {
            auto* const relay = this->find(address);
            if (relay == &node || !this->reaches(node, relay))
                continue;
            auto const* const roster = node.succession->roster();
            relay->issuing->onNodeHeard(
                { node.address, roster ? roster->term : 0, this->now - node.settledSince }, this->now);
            node.answeredAt[address] = this->now;
            if (relay->succession->isRelay() && this->now - relay->connectedAt <= 2400_ms) {
                relay->succession->onFollower(node.address, relay->steady);
                hasRelay = true;
                if (!connected && relay->isLoaded)
                    this->copy(*relay, node);
            }
        }
        if (node.succession->isRelay() && static_cast<int64_t>(node.steady.value) % 1000 == 0) {
            for (auto const& address : node.succession->relays()) {
                if (auto* const relay = this->find(address); relay != &node && this->reaches(node, relay))
                    relay->issuing->onReport(node.issuing->recentlyHeard(this->now), this->now);
            }
        }
        if (hasRelay)
            node.followedAt = node.steady;
        if (connected) {
            node.connectedAt = this->now;
            node.knownNodes = this->counted;
            node.isLoaded = true;
            if (node.seenRevision != this->revision) {
                node.seenRevision = this->revision;
                this->apply(this->stored, node);
            }
            node.issuing->onConfirmed(this->now - 100_ms);
        }
        RelaySuccession::Conditions const conditions { true, this->now - node.connectedAt <= 2400_ms,
            node.steady - node.followedAt <= 2400_ms && !node.succession->isRelay(), this->counted };
        for (auto const& address : node.succession->takeProbes(conditions, node.steady)) {
            auto* const relay = this->find(address);
            bool const answers = this->reaches(node, relay)
                && relay->issuing->answerProbe(
                    conditions.isConnected ? IssuingShare::Asker::Connected : IssuingShare::Asker::Other, this->now);
            if (answers)
                node.succession->onAnswered(address);
            else
                node.succession->onUnanswered(address, node.steady);
        }
        if (auto const write = node.succession->takeWrite(conditions, node.steady); write && connected) {
            ++this->writes;
            if (write->expectedRevision == this->rosterRevision) {
                this->stored = write->roster;
                this->rosterRevision = ++this->revision;
            }
        }
    }
    uint64_t rosterRevision { 0 };
};

} // namespace Toucan
