#pragma once

#include "Configuration/Configuration.h"
#include "Engine/TargetHealthTable.h"

namespace Toucan {

/// Ejects failing or slow targets: for a limited time they get parts only when no other untried replica is usable.
class EjectionPolicy {
public:
    explicit EjectionPolicy(TargetHealthTable& targetHealth)
        : targetHealth(targetHealth)
    {
    }

    /// Ejects the target when it fails or is slow, unless too many targets are ejected or it is the last usable
    /// replica. Returns true when this call ejected it.
    bool ejectIfUnhealthy(ServiceDefinition const& service, TargetDefinition const& target, Milliseconds now);

private:
    bool isSlow(ServiceDefinition const& service, TargetHealth const& health) const;
    bool exceedsEjectionLimit(ServiceDefinition const& service, Milliseconds now) const;
    /// Whether the target is the last usable replica of a shard in any snapshot.
    bool isLastReplica(ServiceDefinition const& service, std::string const& target, Milliseconds now) const;

    TargetHealthTable& targetHealth;
};

} // namespace Toucan
