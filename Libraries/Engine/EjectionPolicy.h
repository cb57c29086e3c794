#pragma once

#include "Configuration/Configuration.h"
#include "Engine/TargetHealthTable.h"

namespace Toucan {

/// Decides when a failing or slow target gets no parts for a while.
class EjectionPolicy {
public:
    explicit EjectionPolicy(TargetHealthTable& targetHealth)
        : targetHealth(targetHealth)
    {
    }

    /// Ejects the target when its evidence asks for it and the caps allow it. Returns true when it was ejected now.
    bool ejectIfUnhealthy(ServiceDefinition const& service, TargetDefinition const& target, Milliseconds now);

private:
    bool isSlow(ServiceDefinition const& service, TargetHealth const& known) const;
    bool exceedsCap(ServiceDefinition const& service, Milliseconds now) const;
    bool isLastReplica(ServiceDefinition const& service, std::string const& target, Milliseconds now) const;

    TargetHealthTable& targetHealth;
};

} // namespace Toucan
