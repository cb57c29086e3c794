#pragma once

#include "Base/BoundedRing.h"
#include "Engine/NodeEngine.h"

#include <functional>

namespace Toucan {

/// Replies from a thread that calls the platform; each such thread has its own ring.
using StoreReplyRing = BoundedRing<StoreReply>;

/// How the engine thread reaches the control thread and the watch thread. Both hooks return at once.
struct StoreLink {
    std::function<void(StoreRequest&&)> request;
    std::function<void(bool watching)> setWatching;
};

} // namespace Toucan
