#pragma once

#include "Configuration/Configuration.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// Keeps the sum of all nodes' connections to a target within its limit while nodes install a changed roster at
/// different times. Derived from the previous and the next configuration; has no I/O.
class DispatcherHandover {
public:
    DispatcherHandover(std::string nodeName);

    void setConfiguration(ConfigurationPointer const& next, Milliseconds now);
    /// Connections that this node may currently hold to the target; 0 while it must not dial it.
    uint32_t share(TargetDefinition const& target, Milliseconds now) const;
    /// Whether the node is a new candidate that must not dial yet, because previous dispatchers may still hold
    /// connections.
    bool isDialDelayed(std::string const& address, std::string const& node, Milliseconds now) const;
    /// Time of the next change of a share; infinity when there is none.
    Milliseconds nextChange(Milliseconds now) const;

private:
    /// Handover in progress of an address whose candidates or connection share changed.
    struct Transition {
        Milliseconds end;
        /// Candidates that were not candidates in the previous configuration.
        std::vector<std::string> added;
        /// No previous candidate remains that could serve the target during the handover, so the new ones dial at once.
        bool allCandidatesNew { false };
        uint32_t previousShare { 0 };
    };
    /// Service and target by the target's address.
    using Addresses = std::map<std::string, std::pair<ServiceDefinition const*, TargetDefinition const*>>;

    struct Candidacy {
        std::string failureDomain;
        bool candidate { false };
    };

    bool isCandidate(TargetDefinition const& target) const;
    static Addresses addressesOf(Configuration const& configuration);
    std::optional<Transition> transitionOf(
        TargetDefinition const& earlier, TargetDefinition const& later, Configuration const& next) const;
    void mergeActiveTransition(std::string const& address, Transition& transition, Milliseconds now) const;

    std::string nodeName;
    ConfigurationPointer configuration;
    std::map<std::string, Transition> transitions;
    /// Cache, by target name, of whether this node is a candidate under the current roster. Ranking the roster for all
    /// targets delays requests, and few configuration changes affect the roster.
    mutable std::unordered_map<std::string, Candidacy> candidacies;
};

} // namespace Toucan
