#pragma once

#include "Base/Clock.h"
#include "Gateway/RegistryPosition.h"

#include <cstdint>
#include <string>

namespace Toucan {

/// Entry that a target writes about itself into the registry.
struct TargetRegistration {
    enum class State {
        Serving,
        /// The target will stop; it still serves for a while but receives no new requests.
        Draining,
    };

    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string failureDomain;
    uint32_t slots { 1 };
    State state { State::Serving };
    /// Remaining time of the target's warm-up, in which it is slow.
    Milliseconds warmUpLeft;
    /// Start time of the process in Unix milliseconds; 0 when unknown. Another value means that the target restarted.
    uint64_t incarnation { 0 };
    /// Increases with each write of one incarnation.
    uint64_t sequence { 0 };
    /// Position of the registry at which the entry was written; revision 0 when unknown.
    RegistryPosition position;

    /// Whether it equals `other` apart from the sequence and the position.
    bool hasSameContentAs(TargetRegistration const& other) const
    {
        return this->service == other.service && this->address == other.address
            && this->failureDomain == other.failureDomain && this->slots == other.slots && this->state == other.state
            && this->warmUpLeft == other.warmUpLeft && this->incarnation == other.incarnation;
    }
    /// Whether the same target wrote this registration before `other`. The registry tells the order of incarnations: a
    /// target whose time of day was set back has an earlier start time after its restart.
    bool isOlderThan(TargetRegistration const& other) const
    {
        if (this->incarnation == other.incarnation)
            return this->sequence < other.sequence;
        if (!this->position.revision || !other.position.revision || this->mayBeOfAnOlderCopyThan(other))
            return this->incarnation < other.incarnation;
        return this->position < other.position;
    }
    /// Whether the registry was restored after `other` was read and this entry may be one of the older copy, written
    /// before `other`. With a revision that is not lower it is a write after the restoration, or one that the copy
    /// held after `other`.
    bool mayBeOfAnOlderCopyThan(TargetRegistration const& other) const
    {
        return this->position.era > other.position.era && this->position.revision < other.position.revision;
    }
};

} // namespace Toucan
