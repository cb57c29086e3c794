#include "Node/NetworkThread.h"

#include <utility>

namespace Toucan {

constexpr Milliseconds maximumTurnWait { 100 };

NetworkThread::NetworkThread(NodeOptions const& options, uint64_t incarnation, EngineThread& engine)
    : engine(engine)
    , callers(this->loop, options.callerListen, options.name + '/' + std::to_string(incarnation), this->callerHooks())
    , peers(this->loop, options.peerListen, options.name, this->peerHooks())
    , targets(this->loop, this->targetHooks())
{
    this->loop.setTurnHook([this] { this->onTurn(); });
}

NetworkThread::~NetworkThread() { this->join(); }

CallerServer::Hooks NetworkThread::callerHooks()
{
    CallerServer::Hooks result;
    result.submit = [this](CallerRequest&& request) {
        EngineEvent event = std::move(request);
        return this->tryDeliver(event);
    };
    result.disconnected = [this](RequestHandle handle) { this->deliver(CallerDisconnected { handle }); };
    return result;
}

PeerLinks::Hooks NetworkThread::peerHooks()
{
    PeerLinks::Hooks result;
    result.frame = [this](Json::Value&& frame) { this->deliver(FrameReceived { std::move(frame) }); };
    result.connectionLost = [this](std::string const& peer) { this->deliver(PeerConnectionLost { peer }); };
    return result;
}

TargetClient::Hooks NetworkThread::targetHooks()
{
    TargetClient::Hooks result;
    result.answered = [this](TargetAnswer&& answer) { this->deliver(std::move(answer)); };
    result.status = [this](std::string const& target, TargetState state, TargetLoad load) {
        this->deliver(TargetStatusReport { target, state, load });
    };
    return result;
}

void NetworkThread::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void NetworkThread::run()
{
    while (!this->ending) {
        bool const paused = !this->waiting.empty();
        if (paused)
            ++this->readingPauses;
        this->loop.runOnce(maximumTurnWait, paused ? EventLoop::Reading::Paused : EventLoop::Reading::Enabled);
        if (std::exchange(this->eventsSent, false))
            this->engine.wake();
        this->publishState();
    }
}

void NetworkThread::onTurn()
{
    this->deliverWaiting();
    this->applyCallerListener();
    for (NetworkTask task; this->engine.tasks().tryPop(task);)
        this->handle(std::move(task));
}

bool NetworkThread::tryDeliver(EngineEvent& event)
{
    if (!this->waiting.empty() || !this->engine.events().tryPush(event))
        return false;
    this->eventsSent = true;
    return true;
}

void NetworkThread::deliver(EngineEvent&& event)
{
    if (!this->tryDeliver(event))
        this->waiting.push_back(std::move(event));
}

void NetworkThread::deliverWaiting()
{
    while (!this->waiting.empty() && this->engine.events().tryPush(this->waiting.front())) {
        this->waiting.pop_front();
        this->eventsSent = true;
    }
}

void NetworkThread::handle(NetworkTask&& task)
{
    if (auto const* frame = std::get_if<FrameToSend>(&task))
        this->peers.send(frame->peer, frame->address, frame->frame);
    else if (auto const* call = std::get_if<TargetCall>(&task))
        this->targets.call(*call);
    else if (auto const* cancel = std::get_if<CancelTargetCall>(&task))
        this->targets.cancel(cancel->attempt);
    else if (auto const* poll = std::get_if<PollTarget>(&task))
        this->targets.poll(poll->target, poll->address);
    else if (auto const* limit = std::get_if<LimitTargetConnections>(&task))
        this->targets.setConnectionLimit(limit->address, limit->connections);
    else if (auto const* answer = std::get_if<CallerAnswer>(&task))
        this->callers.answer(*answer);
}

void NetworkThread::endKeepAlive()
{
    this->wantedListener = CallerListener::KeepAliveEnded;
    this->wake();
}

void NetworkThread::closeCallerListener()
{
    this->wantedListener = CallerListener::Closed;
    this->wake();
}

void NetworkThread::applyCallerListener()
{
    auto const wanted = this->wantedListener.load();
    if (wanted == this->listenerState)
        return;
    this->listenerState = wanted;
    this->callers.endKeepAlive();
    if (wanted == CallerListener::Closed)
        this->callers.beginStop();
}

void NetworkThread::publishState()
{
    this->callerConnections = this->callers.connections();
    this->callerRequests = this->callers.running();
    this->callersFinishedFlag = this->listenerState == CallerListener::Closed && this->callers.connections() == 0;
    this->peerBytes = this->peers.unsent();
    this->requestsReceived = this->callers.received();
    this->requestsRefused = this->callers.refused();
    this->framesSent = this->peers.counters().framesSent;
    this->framesReceived = this->peers.counters().framesReceived;
    this->framesDropped = this->peers.counters().framesDropped;
    this->peerConnectionsLost = this->peers.counters().connectionsLost;
    for (size_t index = 0; index < countedFrameKinds.size(); ++index)
        this->bytesSent[index] = this->peers.counters().bytesSent[index];
    this->targetCalls = this->targets.counters().calls;
    this->targetCancels = this->targets.counters().cancels;
    this->targetPolls = this->targets.counters().polls;
    this->targetCancelsAndPollsDropped = this->targets.counters().dropped;
}

std::map<std::string, double> NetworkThread::metrics() const
{
    auto const value = [](auto const& counter) { return static_cast<double>(counter.load()); };
    std::map<std::string, double> result {
        { "toucan_caller_connections", value(this->callerConnections) },
        { "toucan_caller_requests_running", value(this->callerRequests) },
        { "toucan_caller_requests_total", value(this->requestsReceived) },
        { "toucan_caller_requests_refused_total", value(this->requestsRefused) },
        { "toucan_frames_sent_total", value(this->framesSent) },
        { "toucan_frames_received_total", value(this->framesReceived) },
        { "toucan_frames_dropped_total", value(this->framesDropped) },
        { "toucan_peer_connections_lost_total", value(this->peerConnectionsLost) },
        { "toucan_target_calls_total", value(this->targetCalls) },
        { "toucan_target_cancels_total", value(this->targetCancels) },
        { "toucan_target_polls_total", value(this->targetPolls) },
        { "toucan_target_side_calls_dropped_total", value(this->targetCancelsAndPollsDropped) },
        { "toucan_reading_pauses_total", value(this->readingPauses) },
        { "toucan_engine_events_waiting", static_cast<double>(this->engine.waitingEvents()) },
        { "toucan_network_tasks_waiting", static_cast<double>(this->engine.waitingTasks()) },
    };
    for (size_t index = 0; index < countedFrameKinds.size(); ++index) {
        auto const name = "toucan_frame_bytes_sent_" + std::string(countedFrameKinds[index]) + "_total";
        result[name] = value(this->bytesSent[index]);
    }
    return result;
}

void NetworkThread::join()
{
    this->ending = true;
    this->wake();
    if (this->thread.joinable())
        this->thread.join();
}

} // namespace Toucan
