#include "Node/ReplySender.h"

namespace Toucan {

/// The engine drains its rings many times per second; polling costs less than a signal on each of its reads.
static constexpr long fullRingPollMs = 2;

ReplySender::ReplySender(StoreReplyHandler sink)
    : sink(std::move(sink))
{
}

bool ReplySender::send(StoreReply&& reply)
{
    // A sink that returns false leaves the reply unchanged.
    while (!this->sink(std::move(reply))) { // NOLINT(bugprone-use-after-move)
        if (this->stopped.tryWait(fullRingPollMs))
            return false;
    }
    return true;
}

void ReplySender::stop() { this->stopped.set(); }

} // namespace Toucan
