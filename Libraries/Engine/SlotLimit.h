#pragma once

#include "Engine/Messages.h"

#include <algorithm>
#include <cstdint>

namespace Toucan {

/// Number of calls that this node may run at a target at once: the target's configured slots, lowered by each shed
/// answer and raised again by successful ones.
class SlotLimit {
public:
    /// Keeps a lowered limit when the configured slots are unchanged.
    void setSlots(uint32_t slots);
    /// Lowers the limit: the target refused work, so it has fewer slots than assumed.
    void onShed();
    void onSuccess();
    /// Slots in the given state; a starting target gets one call at a time.
    uint32_t current(TargetState state) const { return state == TargetState::Starting ? 1 : this->effective; }

private:
    /// Number of successes after which the limit rises by one.
    static constexpr uint32_t successesPerStep = 100;
    uint32_t configured { 1 };
    uint32_t effective { 1 };
    uint32_t successes { 0 };
};

inline void SlotLimit::setSlots(uint32_t slots)
{
    auto const next = std::max(1U, slots);
    if (next == this->configured && this->effective > 0)
        return;
    this->configured = next;
    this->effective = next;
    this->successes = 0;
}

inline void SlotLimit::onShed()
{
    this->effective = std::max(1U, this->effective - 1);
    this->successes = 0;
}

inline void SlotLimit::onSuccess()
{
    if (this->effective >= this->configured || ++this->successes < successesPerStep)
        return;
    ++this->effective;
    this->successes = 0;
}

} // namespace Toucan
