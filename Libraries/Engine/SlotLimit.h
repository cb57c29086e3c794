#pragma once

#include "Engine/Messages.h"

#include <algorithm>
#include <cstdint>

namespace Toucan {

/// Number of calls that may run at a target at once: its configured slots, reduced by what its shed answers teach.
class SlotLimit {
public:
    void setSlots(uint32_t slots);
    /// The target refused work, so it has fewer slots than was believed.
    void onShed();
    void onGoodAnswer();
    /// Slots for the present state; a starting target gets one call at a time.
    uint32_t current(TargetState state) const { return state == TargetState::Starting ? 1 : this->learned; }

private:
    static constexpr uint32_t goodAnswersPerStep = 100;
    uint32_t configured { 1 };
    uint32_t learned { 1 };
    uint32_t goodAnswers { 0 };
};

inline void SlotLimit::setSlots(uint32_t slots)
{
    auto const next = std::max(1U, slots);
    if (next == this->configured && this->learned > 0)
        return;
    this->configured = next;
    this->learned = next;
    this->goodAnswers = 0;
}

inline void SlotLimit::onShed()
{
    this->learned = std::max(1U, this->learned - 1);
    this->goodAnswers = 0;
}

inline void SlotLimit::onGoodAnswer()
{
    if (this->learned >= this->configured || ++this->goodAnswers < goodAnswersPerStep)
        return;
    ++this->learned;
    this->goodAnswers = 0;
}

} // namespace Toucan
