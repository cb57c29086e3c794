#pragma once

#include "Base/BoundedRing.h"
#include "Base/WakeSignal.h"
#include "Engine/NodeEngine.h"
#include "Node/NodeOptions.h"
#include "Node/StoreLink.h"
#include "Node/ThreadMessages.h"

#include <atomic>
#include <future>
#include <json/value.h>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace Toucan {

/// Request of an admin thread, answered between two events.
struct AdminRequest {
    enum class Kind {
        View,
        Burn,
        ConfigurationVersion,
    } kind { Kind::View };
    std::promise<Json::Value> answer;
};

/// Owns the NodeEngine and the thread that runs it. Other threads reach it through bounded rings only.
class EngineThread {
public:
    struct Hooks {
        /// Wakes the network thread when tasks are waiting.
        std::function<void()> wakeNetwork;
    };

    EngineThread(NodeOptions const& options, std::string const& peerAddress, uint64_t incarnation);
    ~EngineThread();
    EngineThread(EngineThread const&) = delete;
    EngineThread& operator=(EngineThread const&) = delete;

    /// Written by the network thread, which also reads tasks().
    BoundedRing<EngineEvent>& events() { return this->eventRing; }
    BoundedRing<NetworkTask>& tasks() { return this->taskRing; }
    StoreReplyRing& controlReplies() { return this->controlRing; }
    StoreReplyRing& watchReplies() { return this->watchRing; }
    /// To be called after a push into one of the rings.
    void wake() { this->signal.notify(); }

    void start(StoreLink storeLink, Hooks hooks);
    /// Releases key ranges, notifies peers and finishes queued parts; finished() returns true when that is done.
    void beginStop();
    bool finished() const { return this->finishedFlag; }
    /// Ends the thread.
    void join();

    bool ready() const { return this->readyFlag; }
    /// Time of the last turn of the engine.
    Milliseconds lastTurn() const { return { this->lastTurnTime }; }
    /// Events and tasks that wait in the rings.
    size_t waitingEvents() const { return this->eventRing.size(); }
    size_t waitingTasks() const { return this->taskRing.size(); }
    /// Sends a request to the engine thread and waits for its answer. May be called from any thread. Empty when the
    /// engine does not answer within the timeout.
    std::optional<Json::Value> requestAndWait(AdminRequest::Kind kind, Milliseconds timeout);

private:
    using AdminRequestPointer = std::shared_ptr<AdminRequest>;

    NodeEngine::Hooks engineHooks();
    void send(NetworkTask&& task);
    void run();
    size_t handleEvents();
    size_t handleReplies(StoreReplyRing& ring);
    void handle(EngineEvent&& event, Milliseconds now);
    void answerAdminRequests();
    void publishState(Milliseconds now);

    StoreLink storeLink;
    Hooks hooks;
    BoundedRing<EngineEvent> eventRing;
    BoundedRing<NetworkTask> taskRing;
    StoreReplyRing controlRing;
    StoreReplyRing watchRing;
    BoundedRing<AdminRequestPointer> adminRequestRing;
    /// Serializes the admin threads, so that the ring has one producer at a time.
    std::mutex adminRequestMutex;
    WakeSignal signal;
    bool networkTasksSent { false };
    bool stopBegun { false };
    std::atomic<bool> stopRequested { false };
    std::atomic<bool> ending { false };
    std::atomic<bool> readyFlag { false };
    std::atomic<bool> finishedFlag { false };
    std::atomic<double> lastTurnTime { 0 };
    NodeEngine engine;
    std::thread thread;
};

} // namespace Toucan
