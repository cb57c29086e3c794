#pragma once

#include "Base/BoundedRing.h"
#include "Node/CallBackoff.h"
#include "Node/ReplySender.h"

#include <Poco/Event.h>
#include <atomic>
#include <deque>
#include <string>
#include <thread>

namespace Toucan {

class StoreClient;

/// Executes the engine's requests to the key-value store and the list of VMs one after the other and replies to each.
/// During the backoff after a failure, reads are answered as unreachable without a call, and writes wait.
class ControlThread {
public:
    struct Options {
        /// IP address and port of the key-value store.
        std::string store;
        /// IP address and port that serve GET /vms.
        std::string vmList;
        Milliseconds timeout { 500 };
        BackoffDelays backoffDelays {};
    };

    /// The thread runs until stop(). Throws Error of kind InvalidSettings when an endpoint is not valid.
    ControlThread(Options options, StoreReplyHandler sink);
    ~ControlThread();

    /// Called by the engine thread; returns at once. A request that does not fit into the ring gets no reply, and the
    /// engine repeats it.
    void request(StoreRequest&& request);
    /// Returns after the call in progress. Waiting requests get no reply.
    void stop();
    /// Requests that did not fit into the ring.
    uint64_t droppedRequests() const { return this->dropped; }

private:
    void run();
    void takeRequests();
    void handleNext();
    long waitMilliseconds() const;
    StoreReply execute(StoreRequest const& request);
    void readConfiguration(StoreRequest const& request, StoreReply& reply);
    void writeOwnership(StoreRequest const& request, StoreReply& reply);
    void recordFailure(CallBackoff& backoff, char const* platformService, std::string const& detail);
    void recordInvalidValue(char const* platformService, std::string const& detail);
    void recordSuccess(CallBackoff& backoff, char const* platformService);
    CallBackoff& backoffFor(StoreRequest const& request);

    Options options;
    std::unique_ptr<StoreClient> client;
    ReplySender replies;
    BoundedRing<StoreRequest> requests;
    std::atomic<uint64_t> dropped { 0 };
    std::atomic<bool> stopping { false };
    Poco::Event wakeup;
    /// Requests that were taken from the ring; used only by this thread.
    std::deque<StoreRequest> waiting;
    /// Last error of a stored value, so that a repeated error is logged once.
    std::string lastInvalidValue;
    CallBackoff storeBackoff;
    CallBackoff vmListBackoff;
    std::thread thread;
};

} // namespace Toucan
