#pragma once

#include "Base/Clock.h"
#include "Succession/RelayRoster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Toucan {

/// Decides who the relays of the fleet are: which change of the roster this node writes, and when. Relays that end are
/// replaced by nodes that still run, also when all of them are lost at once. Every change is one conditional write to
/// the registry; there is none while the relays answer. docs/design/succession.md explains the steps.
class RelaySuccession {
public:
    struct Options {
        /// Address of this node for other nodes; empty when it can be no relay.
        std::string own;
        /// Relays by the settings, in force while there is no roster.
        std::vector<std::string> configured;
        /// Between 0 and 1.
        std::function<double()> random;
    };
    struct Conditions {
        /// Whether the configuration in force has limits that all nodes share.
        bool hasLimits { false };
        /// Whether the registry itself has confirmed this node's state recently.
        bool isConnected { false };
        /// Whether a relay has confirmed this node's state recently.
        bool followsRelay { false };
        /// Upper estimate of the number of nodes.
        uint32_t nodes { 0 };
    };
    /// A write that succeeds only if the roster's entry is still of the revision.
    struct Write {
        /// 0: the entry must not exist.
        uint64_t expectedRevision { 0 };
        RelayRoster roster;
        /// For the log.
        std::string_view reason;
    };

    explicit RelaySuccession(Options options);

    /// Applies the roster that the registry holds; empty when it holds none that can be read. Returns whether the
    /// relays have changed. A roster of an earlier term, as a registry that was restored from a copy shows it, is not
    /// applied: a relay writes the later one again.
    bool onRoster(std::optional<RelayRoster> const& next, uint64_t revision, Milliseconds now);
    /// The roster in force; null while the settings name the relays.
    RelayRoster const* roster() const { return this->current ? &*this->current : nullptr; }
    /// Addresses of the relays, each once.
    std::vector<std::string> relays() const;
    bool isRelay() const;
    /// Whether this node is a relay, and no relay before it in the list answers.
    bool isFirstRunning() const;

    /// Relays that should be asked now whether they run.
    std::vector<std::string> takeProbes(Conditions const& conditions, Milliseconds now);
    /// A relay has answered that it runs, and reaches the registry or has reached it recently.
    void onAnswered(std::string const& relay) { this->silences.erase(relay); }
    void onUnanswered(std::string const& relay, Milliseconds now);
    /// Another node, with that address, asks this one for changes.
    void onFollower(std::string const& address, Milliseconds now);

    /// Returns the change to be written now, and assumes that the caller writes it.
    std::optional<Write> takeWrite(Conditions const& conditions, Milliseconds now);

private:
    struct Silence {
        Milliseconds since;
        uint32_t probes { 0 };
    };

    /// Relays other than this node that have not answered for so long that they are to be replaced. For a node that is
    /// no relay, empty while any relay may still run.
    std::vector<std::string> lostRelays(Milliseconds now) const;
    /// Whether the relay has been silent for the time and number of questions after which this node replaces it.
    bool isLost(std::string const& relay, Milliseconds now) const;
    /// The first roster, from the relays of the settings.
    std::optional<Write> firstRoster(Conditions const& conditions, Milliseconds now);
    /// Cancels a claim that names this node; ends or withdraws a claim of this node.
    std::optional<Write> decideOnClaim(Conditions const& conditions, Milliseconds now) const;
    /// Claims the slots of relays that are lost.
    std::optional<Write> claim(Milliseconds now);
    /// Ends the time in which taken slots issue in part, when their former holders have ended for sure.
    std::optional<Write> settle(Milliseconds now) const;
    /// Gives one of several slots of this node to a follower, in two writes.
    std::optional<Write> handOver(Milliseconds now);
    std::optional<Write> fillVacancy(Milliseconds now) const;
    /// A node that asks this one for changes and holds no slot; empty when there is none.
    std::string freeFollower(Milliseconds now) const;
    /// The next roster, of the next term, without a claim.
    RelayRoster next() const;
    std::optional<Write> write(RelayRoster&& roster, std::string_view reason) const;

    Options options;
    std::optional<RelayRoster> current;
    /// Revision of the entry in the registry; 0 when it has none.
    uint64_t revision { 0 };
    /// Whether the registry holds an earlier term, or none, after it was restored from a copy.
    bool mustRestore { false };
    Milliseconds changedAt;
    Milliseconds nextWrite;
    Milliseconds nextProbes;
    std::optional<Milliseconds> neededSince;
    std::optional<Milliseconds> claimAt;
    /// Term in which this node has vacated a slot; 0 when it has not.
    uint64_t vacatedTerm { 0 };
    std::map<std::string, Silence> silences;
    /// By address.
    std::map<std::string, Milliseconds> followers;
};

} // namespace Toucan
