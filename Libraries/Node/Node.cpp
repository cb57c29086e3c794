#include "Node/Node.h"

#include <algorithm>
#include <chrono>
#include <glog/logging.h>
#include <thread>

namespace Toucan {

constexpr std::chrono::milliseconds stopPollPeriod { 5 };
/// Share of the drain time that is reserved for releasing key ranges and notifying peers.
constexpr double leavingShare = 0.3;

Node::Node(NodeOptions const& options)
    : options(options)
    , incarnation(static_cast<uint64_t>(Clock::wallClock().value))
    , engineThread(options, options.peerAdvertise, this->incarnation)
    , networkThread(options, this->incarnation, this->engineThread)
    , adminServer(options.adminListen, this->engineThread,
          { [this] { return !this->stopping && this->engineThread.ready(); },
              [this] { return this->networkThread.metrics(); } })
{
}

Node::~Node()
{
    this->adminServer.stop();
    // The engine thread may be waiting for the network thread to drain the task ring, so it is joined first.
    this->engineThread.join();
    this->networkThread.join();
}

void Node::start(StoreLink storeLink)
{
    this->networkThread.start();
    this->engineThread.start(std::move(storeLink), { [this] { this->networkThread.wake(); } });
    this->adminServer.start();
    LOG(INFO) << "Node " << this->options.name << " started: callers " << this->options.callerListen << ", peers "
              << this->options.peerListen << ", admin " << this->options.adminListen;
}

bool Node::waitUntil(Milliseconds time, std::function<bool()> const& condition)
{
    while (!condition()) {
        if (Clock::now() >= time)
            return false;
        std::this_thread::sleep_for(stopPollPeriod);
    }
    return true;
}

void Node::stop()
{
    LOG(INFO) << "Planned stop: not ready, still serving for " << this->options.balancerLag.value << " ms";
    this->stopping = true;
    this->networkThread.endKeepAlive();
    waitUntil(Clock::now() + this->options.balancerLag, [] { return false; });

    auto const listenerClosed = Clock::now();
    LOG(INFO) << "Planned stop: callers' listener closed, waiting for running requests";
    this->networkThread.closeCallerListener();
    bool const answered = waitUntil(listenerClosed + this->options.drain * (1 - leavingShare),
        [this] { return this->networkThread.callersFinished(); });
    LOG_IF(WARNING, !answered) << "Planned stop: " << this->networkThread.runningCallerRequests()
                               << " requests are not answered within the drain time";

    LOG(INFO) << "Planned stop: releasing key ranges and leaving the fleet";
    this->engineThread.beginStop();
    auto const end = listenerClosed + this->options.drain;
    bool const left = waitUntil(end, [this] { return this->engineThread.finished(); });
    LOG_IF(WARNING, !left) << "Planned stop: key ranges or queued parts remained at the end of the drain time";
    waitUntil(end, [this] { return this->networkThread.unsentToPeers() == 0; });

    this->adminServer.stop();
    this->engineThread.join();
    this->networkThread.join();
    LOG(INFO) << "Node " << this->options.name << " stopped";
}

} // namespace Toucan
