#pragma once

#include "Base/Clock.h"
#include "Engine/ConfigurationState.h"
#include "Node/CallBackoff.h"
#include "Node/ReplySender.h"

#include <Poco/Event.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Toucan {

class StoreClient;

/// Watches the configuration's root while watching is enabled, and sends each new version with all of its parts; it
/// reads only the changed parts from the store. The root is read at the start of each watch, so that no change between
/// two watches is missed.
class WatchThread {
public:
    struct Options {
        /// IP address and port of the key-value store.
        std::string store;
        Milliseconds timeout { 500 };
    };

    /// The thread runs until stop(). Throws Error of kind InvalidSettings when the endpoint is not valid.
    WatchThread(Options options, StoreReplyHandler sink);
    ~WatchThread();

    /// Called by the engine thread; returns at once.
    void setWatching(bool watching);
    void stop();

private:
    void run();
    void watchOnce();
    /// Sends the current version if it is new, otherwise a reply without a version. Returns the revision after which
    /// the watch begins.
    uint64_t sendCurrentRoot(StoreClient& client);
    bool sendConfiguration(StoreClient& client, ConfigurationRoot const& root);
    bool active() const { return this->watching && !this->stopping; }
    void interrupt();

    Options options;
    ReplySender replies;
    std::atomic<bool> watching { false };
    std::atomic<bool> stopping { false };
    Poco::Event wakeup;
    std::mutex mutex;
    /// Client of the running watch, so that other threads can end it; guarded by the mutex.
    std::shared_ptr<StoreClient> client;
    /// Last version that was sent. Its parts are kept here, because the engine does not have them when it refused that
    /// version.
    ConfigurationUpdate lastSent;
    CallBackoff backoff;
    std::thread thread;
};

} // namespace Toucan
