#include "Node/EngineThread.h"

#include <algorithm>
#include <chrono>
#include <glog/logging.h>
#include <random>

namespace Toucan {

/// Numbers of messages that the rings of the engine thread hold.
constexpr size_t eventCapacity = 8192;
constexpr size_t taskCapacity = 8192;
constexpr size_t replyCapacity = 256;
constexpr size_t adminRequestCapacity = 16;
/// Events of one ring that are handled before the other rings are read.
constexpr size_t eventsPerTurn = 256;
/// Readiness and the time of the last turn are published at least this often.
constexpr Milliseconds maximumSleep { 100 };
/// Pause between attempts to push into a full task ring.
constexpr std::chrono::microseconds fullRingPause { 50 };

EngineThread::EngineThread(NodeOptions const& options, std::string const& peerAddress, uint64_t incarnation)
    : eventRing(eventCapacity)
    , taskRing(taskCapacity)
    , controlRing(replyCapacity)
    , watchRing(replyCapacity)
    , adminRequestRing(adminRequestCapacity)
    , lastTurnTime(Clock::now().value)
    , engine(this->engineHooks(), { options.name, options.failureDomain, peerAddress, incarnation }, options.peers,
          Clock::now())
{
}

EngineThread::~EngineThread() { this->join(); }

NodeEngine::Hooks EngineThread::engineHooks()
{
    NodeEngine::Hooks result;
    result.sendFrame = [this](std::string const& peer, std::string const& address, Json::Value&& frame) {
        this->send(FrameToSend { peer, address, std::move(frame) });
    };
    result.callTarget = [this](TargetCall const& call) { this->send(call); };
    result.cancelTargetCall = [this](AttemptId const& attempt, std::string const& target) {
        this->send(CancelTargetCall { attempt, target });
    };
    result.pollTarget = [this](std::string const& target, std::string const& address) {
        this->send(PollTarget { target, address });
    };
    result.limitConnections = [this](std::string const& address, uint32_t connections) {
        this->send(LimitTargetConnections { address, connections });
    };
    result.answerCaller = [this](CallerAnswer&& answer) { this->send(std::move(answer)); };
    result.requestStore = [this](StoreRequest&& request) { this->storeLink.request(std::move(request)); };
    result.setWatching = [this](bool watching) { this->storeLink.setWatching(watching); };
    result.random
        = [generator = std::mt19937_64(std::random_device {}()),
              distribution = std::uniform_real_distribution<double>()]() mutable { return distribution(generator); };
    result.wallClock = [] { return Clock::wallClock(); };
    return result;
}

void EngineThread::start(StoreLink link, Hooks threadHooks)
{
    this->storeLink = std::move(link);
    this->hooks = std::move(threadHooks);
    this->thread = std::thread([this] { this->run(); });
}

void EngineThread::beginStop()
{
    this->stopRequested = true;
    this->wake();
}

void EngineThread::join()
{
    this->ending = true;
    this->wake();
    if (this->thread.joinable())
        this->thread.join();
}

void EngineThread::send(NetworkTask&& task)
{
    // The network thread always drains this ring, also while it reads no sockets, so the wait ends.
    while (!this->taskRing.tryPush(task) && !this->ending) {
        if (this->hooks.wakeNetwork)
            this->hooks.wakeNetwork();
        std::this_thread::sleep_for(fullRingPause);
    }
    this->networkTasksSent = true;
}

void EngineThread::run()
{
    while (!this->ending) {
        auto handled = this->handleEvents();
        handled += this->handleReplies(this->controlRing);
        handled += this->handleReplies(this->watchRing);
        if (this->stopRequested && !this->stopBegun) {
            this->stopBegun = true;
            this->engine.beginStop(Clock::now());
        }
        if (auto const now = Clock::now(); this->engine.nextWakeup() <= now)
            this->engine.advance(now);
        this->answerAdminRequests();
        if (std::exchange(this->networkTasksSent, false))
            this->hooks.wakeNetwork();
        auto const now = Clock::now();
        this->publishState(now);
        if (!handled)
            this->signal.waitFor(std::min(this->engine.nextWakeup() - now, maximumSleep));
    }
}

size_t EngineThread::handleEvents()
{
    size_t count = 0;
    for (EngineEvent event; count < eventsPerTurn && this->eventRing.tryPop(event); ++count)
        this->handle(std::move(event), Clock::now());
    return count;
}

size_t EngineThread::handleReplies(StoreReplyRing& ring)
{
    size_t count = 0;
    for (StoreReply reply; count < eventsPerTurn && ring.tryPop(reply); ++count)
        this->engine.onStoreReply(std::move(reply), Clock::now());
    return count;
}

void EngineThread::handle(EngineEvent&& event, Milliseconds now)
{
    if (auto* request = std::get_if<CallerRequest>(&event))
        this->engine.onCallerRequest(std::move(*request), now);
    else if (auto* answer = std::get_if<TargetAnswer>(&event))
        this->engine.onTargetAnswer(std::move(*answer), now);
    else if (auto const* frame = std::get_if<FrameReceived>(&event))
        this->engine.onFrame(frame->frame, now);
    else if (auto const* disconnected = std::get_if<CallerDisconnected>(&event))
        this->engine.onCallerDisconnected(disconnected->handle, now);
    else if (auto const* lost = std::get_if<PeerConnectionLost>(&event))
        this->engine.onPeerConnectionLost(lost->peer, now);
    else if (auto const* status = std::get_if<TargetStatusReport>(&event))
        this->engine.onTargetStatus(status->target, status->state, status->load, now);
}

void EngineThread::answerAdminRequests()
{
    auto const now = Clock::now();
    for (AdminRequestPointer adminRequest; this->adminRequestRing.tryPop(adminRequest);) {
        switch (adminRequest->kind) {
        case AdminRequest::Kind::View:
            adminRequest->answer.set_value(this->engine.describe(now));
            break;
        case AdminRequest::Kind::Burn:
            adminRequest->answer.set_value(this->engine.describeBurn(now));
            break;
        case AdminRequest::Kind::ConfigurationVersion:
            adminRequest->answer.set_value(this->engine.describe(now)["configuration"]);
            break;
        }
    }
}

void EngineThread::publishState(Milliseconds now)
{
    bool const ready = this->engine.ready(now);
    if (ready != this->readyFlag)
        LOG(INFO) << (ready ? "The node is ready" : "The node is not ready");
    this->readyFlag = ready;
    this->finishedFlag = this->stopBegun && this->engine.finished();
    this->lastTurnTime = now.value;
}

std::optional<Json::Value> EngineThread::requestAndWait(AdminRequest::Kind kind, Milliseconds timeout)
{
    auto adminRequest = std::make_shared<AdminRequest>();
    adminRequest->kind = kind;
    auto answer = adminRequest->answer.get_future();
    {
        std::lock_guard const lock(this->adminRequestMutex);
        if (!this->adminRequestRing.tryPush(adminRequest))
            return std::nullopt;
    }
    this->wake();
    if (answer.wait_for(std::chrono::duration<double, std::milli>(timeout.value)) != std::future_status::ready)
        return std::nullopt;
    return answer.get();
}

} // namespace Toucan
