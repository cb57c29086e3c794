#pragma once

#include "Gateway/RegistryContact.h"

namespace Toucan {

/// Wait of a watch of a relay: each answer confirms to its followers that its state is recent. A node that has relays
/// but watches the registry itself waits as long.
constexpr Milliseconds relayWatchTime { 1000 };
/// A node watches the registry itself when a relay's state is older than this: early enough to have a new
/// configuration in force within 3 s.
constexpr Milliseconds maximumStaleness { 2400 };
/// Grace period for registrations that expired in an outage: a live target renews its registration within 2 s of the
/// end of the outage.
constexpr Milliseconds expiredEntryGrace = RegistryContact::grace;

} // namespace Toucan
