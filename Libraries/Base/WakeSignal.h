#pragma once

#include "Base/Clock.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>

namespace Toucan {

/// Lets one thread sleep until another has put work into a ring. A notify() before the wait is not lost.
class WakeSignal {
public:
    void notify()
    {
        if (this->signalled.exchange(true))
            return;
        // The lock orders this notify after the waiter's check of the flag.
        {
            std::lock_guard const lock(this->mutex);
        }
        this->condition.notify_one();
    }

    /// Returns at once when notify() was called since the last wait.
    void waitFor(Milliseconds bound)
    {
        if (!this->signalled && bound > Milliseconds {}) {
            std::unique_lock lock(this->mutex);
            this->condition.wait_for(lock, std::chrono::duration<double, std::milli>(bound.value),
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
