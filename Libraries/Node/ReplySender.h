#pragma once

#include "Engine/NodeEngine.h"

#include <Poco/Event.h>
#include <functional>

namespace Toucan {

/// Accepts a reply, or returns false and leaves it unchanged when the ring is full.
using StoreReplyHandler = std::function<bool(StoreReply&&)>;

/// Passes replies to the engine thread and waits while its ring is full. Used by one sending thread.
class ReplySender {
public:
    explicit ReplySender(StoreReplyHandler sink);

    /// Returns false when stop() was called before the reply was accepted.
    bool send(StoreReply&& reply);
    /// From any thread; ends a waiting send() at once.
    void stop();

private:
    StoreReplyHandler sink;
    /// Stays set once stop() was called.
    Poco::Event stopped { Poco::Event::EVENT_MANUALRESET };
};

} // namespace Toucan
