#pragma once

#include <deque>
#include <functional>
#include <utility>

namespace Toucan {

/// Queue of effects, such as hook calls, that run after a state change is complete, so that a hook may call back into
/// its owner.
class Outbox {
public:
    void post(std::function<void()> effect) { this->effects.push_back(std::move(effect)); }

    /// Runs all effects in order, including those that effects add. A nested call returns at once.
    void flush()
    {
        if (this->flushing)
            return;
        struct Reset {
            bool& flag;
            ~Reset() { this->flag = false; }
        } const reset { this->flushing };
        this->flushing = true;
        while (!this->effects.empty()) {
            auto const effect = std::move(this->effects.front());
            this->effects.pop_front();
            effect();
        }
    }

private:
    std::deque<std::function<void()>> effects;
    bool flushing { false };
};

} // namespace Toucan
