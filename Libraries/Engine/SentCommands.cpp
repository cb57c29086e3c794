#include "Engine/SentCommands.h"

namespace Toucan {

bool SentCommands::add(AttemptId const& attempt, Milliseconds now)
{
    while (!this->order.empty() && now - this->order.front().first > lifetime) {
        this->attempts.erase(this->order.front().second);
        this->order.pop_front();
    }
    if (!this->attempts.insert(attempt).second)
        return false;
    this->order.emplace_back(now, attempt);
    return true;
}

} // namespace Toucan
