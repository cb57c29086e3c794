#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace Toucan {

/// What a target says of itself in the registry.
struct TargetRegistration {
    enum class State {
        Serving,
        /// It will end; it still serves for a while but gets no new work.
        Draining,
    };

    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string failureDomain;
    uint32_t slots { 1 };
    State state { State::Serving };
    /// Remaining time in which the target is slow after its start.
    Milliseconds warmUpLeft;
    /// Start of the process in Unix milliseconds; 0 when unknown. Another value means that the target restarted.
    uint64_t incarnation { 0 };
    /// Grows with each write of one incarnation.
    uint64_t sequence { 0 };

    /// Whether it says the same as the other one, apart from the sequence.
    bool saysSameAs(TargetRegistration const& other) const
    {
        return this->service == other.service && this->address == other.address
            && this->failureDomain == other.failureDomain && this->slots == other.slots && this->state == other.state
            && this->warmUpLeft == other.warmUpLeft && this->incarnation == other.incarnation;
    }
    /// Whether it was written before the other one by the same target.
    bool isOlderThan(TargetRegistration const& other) const
    {
        if (this->incarnation != other.incarnation)
            return this->incarnation < other.incarnation;
        return this->sequence < other.sequence;
    }
};

} // namespace Toucan
