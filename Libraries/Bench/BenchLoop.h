#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

/// Stand-ins for targets, the network and callers, used by tests and measurements.
namespace Toucan::Bench {

/// Single-threaded event loop over file descriptors (epoll) and timers. Not thread-safe.
class BenchLoop {
public:
    using WatchId = uint64_t;
    using TimerId = uint64_t;

    /// Throws Error of kind Unavailable when the limit of open files is reached.
    BenchLoop();
    ~BenchLoop();
    BenchLoop(BenchLoop const&) = delete;
    BenchLoop& operator=(BenchLoop const&) = delete;

    /// `events` are epoll flags. The descriptor must stay open until unwatch(). Throws Error of kind Unavailable.
    WatchId watch(int descriptor, uint32_t events, std::function<void(uint32_t events)> ready);
    void setEvents(WatchId watch, uint32_t events);
    void unwatch(WatchId watch);
    /// Calls `action` once when Clock::now() has reached `at`.
    TimerId schedule(Milliseconds at, std::function<void()> action);
    /// Does nothing for a timer that has fired.
    void cancel(TimerId timer);
    /// Blocks SIGTERM and SIGINT; run() returns when one of them arrives.
    void stopOnSignals();
    void run();
    void stop() { this->stopping = true; }

private:
    struct Watch {
        int descriptor { -1 };
        std::shared_ptr<std::function<void(uint32_t)>> ready;
    };
    struct Timer {
        Milliseconds at;
        TimerId id { 0 };
        bool operator>(Timer const& other) const
        {
            return this->at != other.at ? this->at > other.at : this->id > other.id;
        }
    };

    void runDueTimers();
    void armTimer();
    void dropCancelledTimers();

    int epoll { -1 };
    int wakeupTimer { -1 };
    int signals { -1 };
    uint64_t lastId { 0 };
    bool stopping { false };
    /// Time for which wakeupTimer is set; zero when it is not set.
    Milliseconds armedDeadline;
    std::unordered_map<WatchId, Watch> watches;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timerHeap;
    std::unordered_map<TimerId, std::function<void()>> actions;
};

} // namespace Toucan::Bench
