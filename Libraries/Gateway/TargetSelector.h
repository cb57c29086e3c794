#pragma once

#include "Gateway/TargetDirectory.h"

#include <functional>
#include <span>

namespace Toucan {

/// Selects the target of an attempt by its expected latency.
class TargetSelector {
public:
    using TargetPointer = TargetDirectory::TargetPointer;

    /// `random` returns numbers in [0, 1); it breaks ties so that nodes do not all select the same target.
    explicit TargetSelector(std::function<double()> random);

    /// Target with the lowest expected latency that is not in `excluded`; null when none may receive a request. A
    /// target whose wait has ended gets the first request after it.
    TargetPointer choose(std::span<TargetPointer const> targets, std::span<TargetPointer const> excluded,
        GatewayTarget::RequestConditions const& conditions, Milliseconds now) const;

private:
    std::function<double()> random;
};

} // namespace Toucan
