#pragma once

#include "Base/Clock.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Toucan {

/// Single-threaded loop over non-blocking sockets (POCO PollSet, epoll) and timers. All methods except wake() and
/// stop() are for the thread that runs the loop.
class EventLoop {
public:
    /// `ready` is an OR of Poco::Net::PollSet::Mode values.
    using Handler = std::function<void(int ready)>;
    struct Timer {
        Milliseconds at;
        uint64_t number { 0 };
        auto operator<=>(Timer const&) const = default;
    };
    enum class Reading {
        Enabled,
        /// Sockets are written but not read, so that TCP flow control slows the senders.
        Paused,
    };

    EventLoop();
    ~EventLoop();
    EventLoop(EventLoop const&) = delete;
    EventLoop& operator=(EventLoop const&) = delete;

    /// `mode` is an OR of Poco::Net::PollSet::Mode values; 0 keeps the handler without polling. The handler is kept
    /// until unwatch(), which must be called before the socket is closed.
    void watch(Poco::Net::Socket const& socket, int mode, Handler handler);
    void update(Poco::Net::Socket const& socket, int mode);
    void unwatch(Poco::Net::Socket const& socket);

    Timer schedule(Milliseconds at, std::function<void()> task);
    /// Does nothing when the timer has fired.
    void cancel(Timer const& timer);
    /// Runs the task at the end of the current or next turn, after all ready sockets and timers.
    void atTurnEnd(std::function<void()> task);
    /// Sets a hook that runs in each turn before the handlers, timers and tasks; each wake() is followed by a turn.
    void setTurnHook(std::function<void()> hook);
    /// Sets a hook that receives each exception thrown by a handler, timer or task; the loop continues. Without a hook,
    /// the exception propagates out of runOnce().
    void setExceptionHook(std::function<void(std::exception const&)> hook);

    /// Makes the loop start a turn soon. May be called from any thread.
    void wake();
    /// Makes run() return. May be called from any thread.
    void stop();
    void run();
    /// One turn: waits for a ready socket, a timer, a wake-up or the timeout, and runs what is due.
    void runOnce(Milliseconds timeout, Reading reading = Reading::Enabled);
    /// Time at the start of the current turn's dispatch.
    Milliseconds now() const { return this->turnTime; }

private:
    struct Watch {
        Poco::Net::Socket socket;
        int mode { 0 };
        std::shared_ptr<Handler> handler;
    };

    void setPolledMode(Watch& watch, int mode);
    Milliseconds waitTime(Milliseconds timeout) const;
    void dispatch(Poco::Net::PollSet::SocketModeMap const& ready, int mask);
    void runDueTimers();
    void runTurnEndTasks();
    /// Runs one handler, timer or task and passes its exception to the exception hook, so that the others still run.
    void runGuarded(std::function<void()> const& step);
    void drainWakeUps();

    Poco::Net::PollSet pollSet;
    std::unordered_map<Poco::Net::SocketImpl*, Watch> watches;
    std::map<Timer, std::function<void()>> timers;
    std::vector<std::function<void()>> turnEndTasks;
    std::function<void()> turnHook;
    std::function<void(std::exception const&)> exceptionHook;
    uint64_t lastTimerNumber { 0 };
    Milliseconds turnTime;
    Poco::Net::StreamSocket wakeUpSocket;
    std::atomic<bool> wakeUpPending { false };
    std::atomic<bool> stopping { false };
};

} // namespace Toucan
