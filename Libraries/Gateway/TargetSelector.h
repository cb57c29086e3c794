#pragma once

#include "Gateway/TargetDirectory.h"

#include <functional>
#include <span>

namespace Toucan {

/// Chooses the target of an attempt.
class TargetSelector {
public:
    using TargetPointer = TargetDirectory::TargetPointer;

    /// `random` gives numbers in [0, 1); it breaks ties so that nodes do not choose in step.
    explicit TargetSelector(std::function<double()> random);

    /// Best target that is not in `excluded`; null when there is none that may get a request.
    TargetPointer choose(std::span<TargetPointer const> targets, std::span<TargetPointer const> excluded,
        GatewayTarget::Demand const& demand, Milliseconds now) const;
    /// Number of targets that may get a request, the draining ones not counted.
    static size_t usable(std::span<TargetPointer const> targets, Milliseconds now);
    /// Earliest time at which a blocked target may be tried again; `now` when one is not blocked or none is known.
    static Milliseconds nextAvailable(std::span<TargetPointer const> targets, Milliseconds now);

private:
    std::function<double()> random;
};

} // namespace Toucan
