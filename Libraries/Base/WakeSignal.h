#pragma once

#include "Base/Clock.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>

namespace Toucan {

/// Blocks one thread until another has pushed work into a ring. A notify() before the wait is not lost.
class WakeSignal {
public:
    void notify()
    {
        if (this->signalled.exchange(true))
            return;
        // Taking the lock ensures that the waiter is either blocked already or will see the flag.
        {
            std::lock_guard const lock(this->mutex);
        }
        this->condition.notify_one();
    }

    /// Blocks until notify() or for at most `timeout`; returns at once if notify() was called since the last wait.
    void waitFor(Milliseconds timeout)
    {
        if (!this->signalled && timeout > Milliseconds {}) {
            std::unique_lock lock(this->mutex);
            this->condition.wait_for(lock, std::chrono::duration<double, std::milli>(timeout.value),
                [this] { return this->signalled.load(); });
        }
        this->signalled = false;
    }

private:
    std::atomic<bool> signalled { false };
    std::mutex mutex;
    std::condition_variable condition;
};

} // namespace Toucan
