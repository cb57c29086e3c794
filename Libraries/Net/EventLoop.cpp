#include "Net/EventLoop.h"

#include "Base/Error.h"
#include <Poco/Net/StreamSocketImpl.h>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>

namespace Toucan {

using Poco::Net::PollSet;

/// Level-triggered polling would return at once for unread sockets, so a paused turn sleeps instead.
constexpr std::chrono::microseconds pausedTurnSleep { 200 };
constexpr Milliseconds maximumWait { 1000 };

static Poco::Net::StreamSocket createWakeUpSocket()
{
    int const descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (descriptor < 0)
        throw Error(ErrorKind::Unavailable, "Cannot create an event descriptor", "Raise the limit of open files");
    return { new Poco::Net::StreamSocketImpl(descriptor) };
}

EventLoop::EventLoop()
    : turnTime(Clock::now())
    , wakeUpSocket(createWakeUpSocket())
{
    this->pollSet.add(this->wakeUpSocket, PollSet::POLL_READ);
}

EventLoop::~EventLoop()
{
    // Handlers own sessions; they are moved out first, because a session's destructor may call unwatch().
    auto const remaining = std::exchange(this->watches, {});
    for (auto const& [implementation, watch] : remaining) {
        if (watch.mode)
            this->pollSet.remove(watch.socket);
    }
}

void EventLoop::watch(Poco::Net::Socket const& socket, int mode, Handler handler)
{
    auto& watch = this->watches[socket.impl()];
    watch.socket = socket;
    watch.handler = std::make_shared<Handler>(std::move(handler));
    this->setPolledMode(watch, mode);
}

void EventLoop::update(Poco::Net::Socket const& socket, int mode)
{
    if (auto const found = this->watches.find(socket.impl()); found != this->watches.end())
        this->setPolledMode(found->second, mode);
}

void EventLoop::unwatch(Poco::Net::Socket const& socket)
{
    auto const found = this->watches.find(socket.impl());
    if (found == this->watches.end())
        return;
    this->setPolledMode(found->second, 0);
    auto const handler = found->second.handler;
    this->watches.erase(found);
}

void EventLoop::setPolledMode(Watch& watch, int mode)
{
    if (watch.mode == mode)
        return;
    // A polled socket with an empty mode would still report hang-ups, for which there is no handler, so it is removed
    // from the set.
    if (!mode)
        this->pollSet.remove(watch.socket);
    else if (!watch.mode)
        this->pollSet.add(watch.socket, mode);
    else
        this->pollSet.update(watch.socket, mode);
    watch.mode = mode;
}

EventLoop::Timer EventLoop::schedule(Milliseconds at, std::function<void()> task)
{
    Timer const timer { at, ++this->lastTimerNumber };
    this->timers.emplace(timer, std::move(task));
    return timer;
}

void EventLoop::cancel(Timer const& timer) { this->timers.erase(timer); }

void EventLoop::atTurnEnd(std::function<void()> task) { this->turnEndTasks.push_back(std::move(task)); }

void EventLoop::setTurnHook(std::function<void()> hook) { this->turnHook = std::move(hook); }

void EventLoop::setExceptionHook(std::function<void(std::exception const&)> hook)
{
    this->exceptionHook = std::move(hook);
}

void EventLoop::runGuarded(std::function<void()> const& step)
{
    if (!this->exceptionHook) {
        step();
        return;
    }
    try {
        step();
    } catch (std::exception const& exception) {
        this->exceptionHook(exception);
    }
}

void EventLoop::wake()
{
    if (this->wakeUpPending.exchange(true))
        return;
    uint64_t const one = 1;
    // The write fails only when the counter is full, and then the loop wakes anyway.
    [[maybe_unused]] auto const written = ::write(this->wakeUpSocket.impl()->sockfd(), &one, sizeof one);
}

void EventLoop::stop()
{
    this->stopping = true;
    this->wake();
}

void EventLoop::run()
{
    while (!this->stopping)
        this->runOnce(maximumWait);
}

Milliseconds EventLoop::waitTime(Milliseconds timeout) const
{
    if (!this->turnEndTasks.empty())
        return {};
    if (this->timers.empty())
        return timeout;
    auto const untilTimer = this->timers.begin()->first.at - Clock::now();
    return std::clamp(untilTimer, Milliseconds {}, timeout);
}

void EventLoop::runOnce(Milliseconds timeout, Reading reading)
{
    bool const paused = reading == Reading::Paused;
    // epoll counts whole milliseconds; rounding up avoids turns that find no timer due.
    auto const wait = paused ? 0L : std::lround(std::ceil(this->waitTime(timeout).value));
    auto const ready = this->pollSet.poll(Poco::Timespan(wait * Poco::Timespan::MILLISECONDS));
    this->turnTime = Clock::now();
    this->drainWakeUps();
    if (this->turnHook)
        this->turnHook();
    this->dispatch(
        ready, paused ? PollSet::POLL_WRITE : PollSet::POLL_READ | PollSet::POLL_WRITE | PollSet::POLL_ERROR);
    this->runDueTimers();
    this->runTurnEndTasks();
    if (paused)
        std::this_thread::sleep_for(pausedTurnSleep);
}

void EventLoop::dispatch(PollSet::SocketModeMap const& ready, int mask)
{
    for (auto const& [socket, mode] : ready) {
        auto const found = this->watches.find(socket.impl());
        if (found == this->watches.end() || !(mode & mask))
            continue;
        // Copied, because the handler may unwatch its own socket.
        auto const handler = found->second.handler;
        this->runGuarded([&handler, ready = mode & mask] { (*handler)(ready); });
    }
}

void EventLoop::runDueTimers()
{
    while (!this->timers.empty() && this->timers.begin()->first.at <= this->turnTime) {
        auto const task = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        this->runGuarded(task);
    }
}

void EventLoop::runTurnEndTasks()
{
    auto const tasks = std::exchange(this->turnEndTasks, {});
    for (auto const& task : tasks)
        this->runGuarded(task);
}

void EventLoop::drainWakeUps()
{
    if (!this->wakeUpPending)
        return;
    uint64_t count = 0;
    [[maybe_unused]] auto const size = ::read(this->wakeUpSocket.impl()->sockfd(), &count, sizeof count);
    // Cleared before the turn hook runs, so that a wake() during the hook starts another turn.
    this->wakeUpPending = false;
}

} // namespace Toucan
