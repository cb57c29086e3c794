#pragma once

#include "Node/CallerServer.h"
#include "Node/EngineThread.h"
#include "Node/NodeOptions.h"
#include "Node/PeerLinks.h"
#include "Node/TargetClient.h"
#include "Node/ThreadMessages.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <thread>

namespace Toucan {

/// Owns the event loop with all sockets of callers, peers and targets, and the thread that runs it.
class NetworkThread {
public:
    /// Binds the listeners; throws as TcpListener does. `incarnation` makes generated request ids unique.
    NetworkThread(NodeOptions const& options, uint64_t incarnation, EngineThread& engine);
    ~NetworkThread();
    NetworkThread(NetworkThread const&) = delete;
    NetworkThread& operator=(NetworkThread const&) = delete;

    void start();
    /// Makes the loop process the engine's tasks. May be called from any thread.
    void wake() { this->loop.wake(); }
    /// Each answer to a caller closes its connection from now on.
    void endKeepAlive();
    /// Closes the callers' listener; running requests are answered.
    void closeCallerListener();
    /// Requests of callers that the engine has not answered yet.
    size_t runningCallerRequests() const { return this->callerRequests; }
    /// True once the callers' listener and all of their connections are closed.
    bool callersFinished() const { return this->callersFinishedFlag; }
    /// Bytes for peers that were not given to the kernel yet.
    size_t unsentToPeers() const { return this->peerBytes; }
    void join();

    /// Counters and gauges by metric name. May be called from any thread.
    std::map<std::string, double> metrics() const;

    Poco::Net::SocketAddress callerAddress() const { return this->callers.address(); }
    Poco::Net::SocketAddress peerAddress() const { return this->peers.address(); }

private:
    enum class CallerListener {
        Open,
        KeepAliveEnded,
        Closed,
    };

    CallerServer::Hooks callerHooks();
    PeerLinks::Hooks peerHooks();
    TargetClient::Hooks targetHooks();
    void run();
    void onTurn();
    void deliver(EngineEvent&& event);
    bool tryDeliver(EngineEvent& event);
    void deliverWaiting();
    void handle(NetworkTask&& task);
    void applyCallerListener();
    void publishState();

    EngineThread& engine;
    EventLoop loop;
    /// Events that did not fit into the engine's ring. While there are any, no socket is read.
    std::deque<EngineEvent> waiting;
    bool eventsSent { false };
    /// State that other threads requested, and the state that this thread has applied.
    std::atomic<CallerListener> wantedListener { CallerListener::Open };
    CallerListener listenerState { CallerListener::Open };
    std::atomic<bool> ending { false };
    std::atomic<size_t> callerConnections { 0 };
    std::atomic<size_t> callerRequests { 0 };
    std::atomic<size_t> peerBytes { 0 };
    std::atomic<bool> callersFinishedFlag { false };
    std::atomic<uint64_t> requestsReceived { 0 };
    std::atomic<uint64_t> requestsRefused { 0 };
    std::atomic<uint64_t> framesSent { 0 };
    std::atomic<uint64_t> framesReceived { 0 };
    std::atomic<uint64_t> framesDropped { 0 };
    std::atomic<uint64_t> peerConnectionsLost { 0 };
    std::atomic<uint64_t> targetCalls { 0 };
    std::atomic<uint64_t> targetCancels { 0 };
    std::atomic<uint64_t> targetPolls { 0 };
    std::atomic<uint64_t> targetCancelsAndPollsDropped { 0 };
    std::array<std::atomic<uint64_t>, countedFrameKinds.size()> bytesSent {};
    std::atomic<uint64_t> readingPauses { 0 };
    CallerServer callers;
    PeerLinks peers;
    TargetClient targets;
    std::thread thread;
};

} // namespace Toucan
