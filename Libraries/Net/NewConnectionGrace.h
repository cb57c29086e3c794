#pragma once

#include "Base/Clock.h"

namespace Toucan {

/// Decides how long a new connection must stay open before it gets a request. Servers that have reached their
/// connection limit accept a connection and reset it a moment later. A request that was sent in this moment may have
/// run, so after such resets requests wait for it, and a reset then means "not sent". Usually there is no wait.
class NewConnectionGrace {
public:
    /// Resets later than `longest` after the connect are not taken for a full server; 0 switches the wait off.
    explicit NewConnectionGrace(Milliseconds longest)
        : longest(longest)
    {
    }

    /// Waits until `until` without having seen a reset, for example because the connections of an earlier process may
    /// still count at the servers.
    void expectResets(Milliseconds until);
    /// A new connection was reset before its first answer, `age` after it was opened.
    void onEarlyReset(Milliseconds age, Milliseconds now);
    Milliseconds delay(Milliseconds now) const { return now < this->until ? this->time : Milliseconds {}; }

private:
    Milliseconds longest;
    Milliseconds until;
    Milliseconds time;
};

} // namespace Toucan
