#include "Bench/BenchLoop.h"

#include "Base/Error.h"

#include <array>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace Toucan::Bench {

static constexpr int eventsPerWait = 256;
static constexpr double millisecondsPerSecond = 1000;
static constexpr double nanosecondsPerMillisecond = 1e6;

BenchLoop::BenchLoop()
    : epoll(epoll_create1(EPOLL_CLOEXEC))
    , wakeupTimer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    if (this->epoll < 0 || this->wakeupTimer < 0)
        throw Error(
            ErrorKind::Unavailable, "Cannot open the descriptors of the event loop", "Raise the limit of open files");
    // The timer descriptor wakes epoll_wait(), whose own timeout has a resolution of 1 ms.
    this->watch(this->wakeupTimer, EPOLLIN, [this](uint32_t) {
        uint64_t expirations = 0;
        [[maybe_unused]] auto const count = read(this->wakeupTimer, &expirations, sizeof(expirations));
        this->armedDeadline = 0_ms;
    });
}

BenchLoop::~BenchLoop()
{
    for (auto const descriptor : { this->epoll, this->wakeupTimer, this->signals }) {
        if (descriptor >= 0)
            close(descriptor);
    }
}

BenchLoop::WatchId BenchLoop::watch(int descriptor, uint32_t events, std::function<void(uint32_t)> ready)
{
    auto const id = ++this->lastId;
    this->watches[id] = { descriptor, std::make_shared<std::function<void(uint32_t)>>(std::move(ready)) };
    epoll_event event {};
    event.events = events;
    event.data.u64 = id;
    if (epoll_ctl(this->epoll, EPOLL_CTL_ADD, descriptor, &event) < 0) {
        this->watches.erase(id);
        throw Error(ErrorKind::Unavailable, "A descriptor cannot be watched", "Raise the limit of open files");
    }
    return id;
}

void BenchLoop::setEvents(WatchId watch, uint32_t events)
{
    auto const found = this->watches.find(watch);
    if (found == this->watches.end())
        return;
    epoll_event event {};
    event.events = events;
    event.data.u64 = watch;
    epoll_ctl(this->epoll, EPOLL_CTL_MOD, found->second.descriptor, &event);
}

void BenchLoop::unwatch(WatchId watch)
{
    auto const found = this->watches.find(watch);
    if (found == this->watches.end())
        return;
    epoll_ctl(this->epoll, EPOLL_CTL_DEL, found->second.descriptor, nullptr);
    this->watches.erase(found);
}

BenchLoop::TimerId BenchLoop::schedule(Milliseconds at, std::function<void()> action)
{
    auto const id = ++this->lastId;
    this->actions[id] = std::move(action);
    this->timerHeap.push({ at, id });
    return id;
}

void BenchLoop::cancel(TimerId timer) { this->actions.erase(timer); }

void BenchLoop::stopOnSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    this->signals = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    this->watch(this->signals, EPOLLIN, [this](uint32_t) { this->stop(); });
}

void BenchLoop::dropCancelledTimers()
{
    while (!this->timerHeap.empty() && !this->actions.contains(this->timerHeap.top().id))
        this->timerHeap.pop();
}

void BenchLoop::runDueTimers()
{
    auto const now = Clock::now();
    while (!this->timerHeap.empty() && this->timerHeap.top().at <= now) {
        auto const id = this->timerHeap.top().id;
        this->timerHeap.pop();
        auto const found = this->actions.find(id);
        if (found == this->actions.end())
            continue;
        auto const action = std::move(found->second);
        this->actions.erase(found);
        action();
    }
}

void BenchLoop::armTimer()
{
    this->dropCancelledTimers();
    if (this->timerHeap.empty() || this->timerHeap.top().at == this->armedDeadline)
        return;
    this->armedDeadline = this->timerHeap.top().at;
    auto const seconds = std::floor(this->armedDeadline.value / millisecondsPerSecond);
    itimerspec next {};
    next.it_value.tv_sec = static_cast<time_t>(seconds);
    next.it_value.tv_nsec
        = static_cast<long>((this->armedDeadline.value - seconds * millisecondsPerSecond) * nanosecondsPerMillisecond);
    timerfd_settime(this->wakeupTimer, TFD_TIMER_ABSTIME, &next, nullptr);
}

void BenchLoop::run()
{
    std::array<epoll_event, eventsPerWait> events {};
    while (!this->stopping) {
        this->runDueTimers();
        if (this->stopping)
            return;
        this->armTimer();
        auto const count = epoll_wait(this->epoll, events.data(), eventsPerWait, -1);
        if (count < 0 && errno != EINTR)
            throw Error(ErrorKind::Unavailable, "epoll_wait failed", "Report this fault");
        for (int index = 0; index < count; ++index) {
            auto const found = this->watches.find(events[index].data.u64);
            if (found == this->watches.end())
                continue;
            auto const ready = found->second.ready;
            (*ready)(events[index].events);
        }
    }
}

} // namespace Toucan::Bench
