#pragma once

#include "Base/Clock.h"
#include "Engine/Messages.h"

#include <deque>
#include <unordered_set>
#include <utility>

namespace Toucan {

/// Attempt ids of submitted commands; detects duplicated messages, so that no command is sent twice.
class SentCommands {
public:
    /// Returns false when the attempt was added before.
    bool add(AttemptId const& attempt, Milliseconds now);
    size_t size() const { return this->attempts.size(); }

private:
    /// Longer than a message can be delayed on a connection between nodes.
    static constexpr Milliseconds lifetime { 600000 };
    std::unordered_set<AttemptId> attempts;
    std::deque<std::pair<Milliseconds, AttemptId>> order;
};

} // namespace Toucan
