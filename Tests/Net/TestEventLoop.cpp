#include "Net/EventLoop.h"
#include "NetTestSupport.h"

#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

// clang-format off
TEST_GROUP(EventLoop)
{
    EventLoop loop;
};
// clang-format on

// Guards against timers that fire in the order of their creation, or after they were cancelled.
TEST(EventLoop, RunsTimersInOrderOfTime)
{
    std::vector<int> order;
    auto const start = Clock::now();
    this->loop.schedule(start + 20_ms, [&] { order.push_back(2); });
    this->loop.schedule(start + 10_ms, [&] { order.push_back(1); });
    auto const cancelled = this->loop.schedule(start + 15_ms, [&] { order.push_back(3); });
    this->loop.cancel(cancelled);
    auto const time = runUntil(this->loop, 500_ms, [&] { return order.size() == 2; });
    CHECK(order == std::vector<int>({ 1, 2 }));
    CHECK(time >= 19_ms);
    CHECK(time < 100_ms);
}

// Guards against a lost wake-up, after which the loop would wait for its full timeout.
TEST(EventLoop, WakesFromAnotherThread)
{
    for (int round = 0; round < 50; ++round) {
        std::thread waker([this] { this->loop.wake(); });
        auto const start = Clock::now();
        this->loop.runOnce(1000_ms);
        CHECK(Clock::now() - start < 500_ms);
        waker.join();
    }
}

// Guards against reading sockets while the engine accepts no more events.
TEST(EventLoop, ReadsNothingWhilePaused)
{
    RawListener listener;
    RawPeer sender(listener.socket.address());
    auto receiver = listener.accept();
    int reads = 0;
    this->loop.watch(receiver.socket, Poco::Net::PollSet::POLL_READ, [&](int) {
        ++reads;
        receiver.receive();
    });
    sender.send("bytes");
    for (int turn = 0; turn < 10; ++turn)
        this->loop.runOnce(5_ms, EventLoop::Reading::Paused);
    LONGS_EQUAL(0, reads);
    this->loop.runOnce(100_ms);
    LONGS_EQUAL(1, reads);
    this->loop.unwatch(receiver.socket);
}

// Guards against an unexpected exception ending the process.
TEST(EventLoop, ExceptionsOfHandlersTimersAndTasksAreContained)
{
    RawListener listener;
    RawPeer sender(listener.socket.address());
    auto receiver = listener.accept();
    std::vector<std::string> faults;
    this->loop.setExceptionHook([&faults](std::exception const& exception) { faults.emplace_back(exception.what()); });
    this->loop.watch(receiver.socket, Poco::Net::PollSet::POLL_READ, [&receiver](int) {
        receiver.receive();
        throw std::runtime_error("handler");
    });
    int later = 0;
    this->loop.schedule(Clock::now(), [] { throw std::runtime_error("timer"); });
    this->loop.schedule(Clock::now(), [&later] { ++later; });
    this->loop.atTurnEnd([] { throw std::runtime_error("task"); });
    this->loop.atTurnEnd([&later] { ++later; });
    sender.send("bytes");
    for (int turn = 0; turn < 10; ++turn)
        this->loop.runOnce(5_ms);
    LONGS_EQUAL(2, later);
    LONGS_EQUAL(3, faults.size());
    this->loop.unwatch(receiver.socket);
}
