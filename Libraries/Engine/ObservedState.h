#pragma once

#include "Engine/Messages.h"

namespace Toucan {

/// State of a target from answers and polls. "Draining" wins over reports that lag behind it.
class ObservedState {
public:
    void set(TargetState next, Milliseconds now)
    {
        if (next == TargetState::Draining)
            this->lastDraining = now;
        else if (this->state == TargetState::Draining && now - this->lastDraining < drainingHold)
            return;
        this->state = next;
    }

    TargetState get() const { return this->state; }
    Milliseconds drainingSince() const { return this->lastDraining; }

private:
    /// A lagging report of "serving" within this time does not undo "draining".
    static constexpr Milliseconds drainingHold { 5000 };
    TargetState state { TargetState::Serving };
    Milliseconds lastDraining { -1e12 };
};

} // namespace Toucan
