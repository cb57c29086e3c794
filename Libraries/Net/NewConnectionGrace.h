#pragma once

#include "Base/Clock.h"

namespace Toucan {

/// Decides how long a new connection must stay open before a request is sent on it. A server that has reached its
/// connection limit accepts a connection and resets it shortly afterwards, and a request that was sent in between may
/// have been processed. After such early resets, requests on new connections are delayed, so that a reset during the
/// delay means that nothing was sent. Without early resets there is no delay.
class NewConnectionGrace {
public:
    /// A reset later than `maximumDelay` after the connect is not attributed to a connection limit; 0 disables the
    /// delay.
    explicit NewConnectionGrace(Milliseconds maximumDelay)
        : maximumDelay(maximumDelay)
    {
    }

    /// Delays requests until `until` although no reset was seen, for example because the servers may still count the
    /// connections of an earlier process.
    void expectResets(Milliseconds until);
    /// A new connection was reset before its first response, `age` after it was opened.
    void onEarlyReset(Milliseconds age, Milliseconds now);
    Milliseconds delay(Milliseconds now) const { return now < this->until ? this->currentDelay : Milliseconds {}; }

private:
    Milliseconds maximumDelay;
    Milliseconds until;
    Milliseconds currentDelay;
};

} // namespace Toucan
