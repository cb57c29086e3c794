#pragma once

#include "Engine/Messages.h"

namespace Toucan {

/// State of a target according to its answers and polls. "Draining" takes precedence over lagging reports.
class ObservedState {
public:
    /// Ignores other states within `drainingHold` after a report of "draining".
    void set(TargetState next, Milliseconds now)
    {
        if (next == TargetState::Draining)
            this->lastDraining = now;
        else if (this->state == TargetState::Draining && now - this->lastDraining < drainingHold)
            return;
        this->state = next;
    }

    TargetState get() const { return this->state; }
    /// Time of the latest report of "draining".
    Milliseconds lastDrainingReport() const { return this->lastDraining; }

private:
    /// A lagging report of "serving" within this time does not revert "draining".
    static constexpr Milliseconds drainingHold { 5000 };
    TargetState state { TargetState::Serving };
    Milliseconds lastDraining { -1e12 };
};

} // namespace Toucan
