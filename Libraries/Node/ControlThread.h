#pragma once

#include "Base/BoundedRing.h"
#include "Node/CallGate.h"
#include "Node/ReplySender.h"

#include <Poco/Event.h>
#include <atomic>
#include <deque>
#include <string>
#include <thread>

namespace Toucan {

class StoreClient;

/// Carries out the engine's store requests one after the other, and answers each. After failures reads are answered as
/// unreachable without a call, and writes wait, until the back-off is over.
class ControlThread {
public:
    struct Options {
        /// IP address and port of the key-value store.
        std::string store;
        /// IP address and port that serve GET /vms.
        std::string vmList;
        Milliseconds timeout { 500 };
        CallPauses pauses {};
    };

    /// The thread runs until stop(). Throws Error of kind InvalidSettings when an endpoint is not valid.
    ControlThread(Options options, StoreReplyHandler sink);
    ~ControlThread();

    /// From the engine thread; returns at once. A request that finds no room gets no reply, and the engine asks again.
    void request(StoreRequest&& request);
    /// Returns after the call in progress. Waiting requests get no reply.
    void stop();
    /// Requests that found no room.
    uint64_t droppedRequests() const { return this->dropped; }

private:
    void run();
    void takeRequests();
    void handleNext();
    long waitMilliseconds() const;
    StoreReply execute(StoreRequest const& request);
    void readConfiguration(StoreRequest const& request, StoreReply& reply);
    void writeOwnership(StoreRequest const& request, StoreReply& reply);
    void noteFailure(CallGate& gate, char const* what, std::string const& detail);
    void noteInvalid(char const* what, std::string const& detail);
    void noteSuccess(CallGate& gate, char const* what);
    CallGate& gateOf(StoreRequest const& request);

    Options options;
    std::unique_ptr<StoreClient> client;
    ReplySender replies;
    BoundedRing<StoreRequest> requests;
    std::atomic<uint64_t> dropped { 0 };
    std::atomic<bool> stopping { false };
    Poco::Event wakeup;
    /// Requests that were taken from the ring; used by the thread alone.
    std::deque<StoreRequest> waiting;
    /// Last fault of a stored value, so that each is logged once.
    std::string lastInvalid;
    CallGate storeGate;
    CallGate vmListGate;
    std::thread thread;
};

} // namespace Toucan
