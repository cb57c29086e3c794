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
    /// Connections that this node may open to the target at the moment; 0 while it must not dial it.
    uint32_t share(TargetDefinition const& target, Milliseconds now) const;
    /// Whether the node is a candidate that does not dial yet, because earlier carriers may not have closed theirs.
    bool isDialDelayed(std::string const& address, std::string const& node, Milliseconds now) const;
    /// Time of the next change of a share; infinity when there is none.
    Milliseconds nextChange(Milliseconds now) const;

private:
    /// Exists only for addresses whose candidates or share changed a short time ago.
    struct Transition {
        Milliseconds end;
        /// Candidates that were none before.
        std::vector<std::string> added;
        /// No earlier candidate is left that could serve the target meanwhile.
        bool allAdded { false };
        uint32_t earlierShare { 0 };
    };
    using Addresses = std::map<std::string, std::pair<ServiceDefinition const*, TargetDefinition const*>>;

    struct Candidacy {
        std::string failureDomain;
        bool candidate { false };
    };

    bool isCandidate(TargetDefinition const& target) const;
    static Addresses addressesOf(Configuration const& configuration);
    std::optional<Transition> transitionOf(
        TargetDefinition const& earlier, TargetDefinition const& later, Configuration const& next) const;
    void mergeRunning(std::string const& address, Transition& transition, Milliseconds now) const;

    std::string nodeName;
    ConfigurationPointer configuration;
    std::map<std::string, Transition> transitions;
    /// Whether this node is a candidate for a target under the fleet in force, by target name. Ranking the roster for
    /// all targets holds up the data path, and few changes concern the roster.
    mutable std::unordered_map<std::string, Candidacy> candidacies;
};

} // namespace Toucan
