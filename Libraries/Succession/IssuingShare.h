#pragma once

#include "Base/Clock.h"
#include "Succession/RelayRoster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// The part of each shared limit that this node may issue, so that the parts of all nodes add up to at most 1, also
/// while nodes hold different rosters. A holder that the registry has not confirmed recently, and a successor whose
/// predecessor may be such a holder, issue in proportion to the nodes that they hear: a node is heard on one side of a
/// partition only. All times are of the clock that includes suspension. docs/design/succession.md has the argument.
class IssuingShare {
public:
    /// Age of a confirmation up to which a holder relies on it. A successor waits as long before it issues.
    static constexpr Milliseconds certainTime { 3000 };
    /// Time after which a holder that was not confirmed, and does not hear all nodes, issues nothing.
    static constexpr Milliseconds doubtTime { 60000 };

    struct Options {
        /// Address of this node; empty when it can be no relay.
        std::string own;
        /// Relays by the settings, in force while there is no roster.
        std::vector<std::string> configured;
        Milliseconds startedAt {};
        /// Name under which other nodes hear this one.
        std::string name {};
    };

    explicit IssuingShare(Options options);

    /// Applies the roster of the registry.
    void onRoster(RelayRoster const& roster, Milliseconds now);
    /// The registry has confirmed the roster that this node holds, as of `at`: the time at which the call was sent.
    void onConfirmed(Milliseconds at) { this->confirmedAt = std::max(this->confirmedAt.value_or(at), at); }
    /// Who asks whether this node runs.
    enum class Asker {
        /// A node that the registry has answered recently.
        Connected,
        Other,
    };
    /// Whether this node answers that it runs. One that was not confirmed for longer than any call takes, while the
    /// registry answers others, is to be replaced: it answers no, and issues nothing until it is confirmed.
    bool answerProbe(Asker asker, Milliseconds now);
    /// What a node states of itself when it asks a relay for changes.
    struct Asking {
        std::string_view node;
        /// Term of the roster that it holds.
        uint64_t term { 0 };
        /// Time since its start, and since the last answer of a relay that its roster does not name.
        Milliseconds settledFor {};
    };
    /// Another node has asked this one for changes. It counts when it holds the same roster and has asked no former
    /// holder for so long that none counts it any more. One with a later roster shows that this node may have been
    /// replaced.
    void onNodeHeard(Asking const& asking, Milliseconds now);
    /// Another relay has heard these nodes, recentlyHeard().
    void onReport(std::span<uint32_t const> nodes, Milliseconds now);
    /// Hashes of the nodes that this one has heard itself within the last seconds, for the other relays.
    std::vector<uint32_t> recentlyHeard(Milliseconds now) const;

    /// Between 0 and 1. `nodes` is an upper estimate of the number of nodes, 0 when it is not known. To be called at
    /// least each second: after a longer gap the process was paused, and issues nothing until it is confirmed.
    double share(uint32_t nodes, Milliseconds now);
    /// Whether the registry has confirmed the roster recently.
    bool isCertain(Milliseconds now) const;
    /// Age of the last confirmation; empty when there is none.
    std::optional<Milliseconds> confirmedAge(Milliseconds now) const;

private:
    /// Number of nodes that this one or another relay has heard, with this one.
    uint32_t heard(Milliseconds now);

    Options options;
    std::optional<RelayRoster> roster;
    std::optional<Milliseconds> confirmedAt;
    std::optional<Milliseconds> resignedAt;
    std::optional<Milliseconds> lastDecision;
    /// Time since which this node holds each slot that was taken from another one.
    std::map<size_t, Milliseconds> takenAt;
    /// Number of nodes while the roster was confirmed.
    uint32_t knownNodes { 0 };
    /// By the hash of the name.
    std::unordered_map<uint32_t, Milliseconds> heardAt;
    std::unordered_map<uint32_t, Milliseconds> reportedAt;
};

} // namespace Toucan
