#include "Node/WatchThread.h"

#include "Base/Error.h"
#include "Node/ConfigurationReader.h"
#include "Platform/StoreClient.h"
#include <algorithm>
#include <cmath>
#include <glog/logging.h>

namespace Toucan {

static constexpr long maximumWaitMs = 1000;
/// A watch that ends sooner counts as a failure, so that a store that closes each watch at once is not called in a
/// tight loop.
static constexpr Milliseconds minimumWatchTime = 1000_ms;

WatchThread::WatchThread(Options threadOptions, StoreReplyHandler sink)
    : options(std::move(threadOptions))
    , replies(std::move(sink))
{
    // Throws here, and not later in the thread, when the endpoint is invalid.
    StoreClient const probe(this->options.store, this->options.timeout);
    this->thread = std::thread([this] { this->run(); });
}

WatchThread::~WatchThread() { this->stop(); }

void WatchThread::setWatching(bool on)
{
    this->watching = on;
    if (!on)
        this->interrupt();
    this->wakeup.set();
}

void WatchThread::stop()
{
    this->stopping = true;
    this->replies.stop();
    this->interrupt();
    this->wakeup.set();
    if (this->thread.joinable())
        this->thread.join();
}

void WatchThread::interrupt()
{
    std::lock_guard const lock(this->mutex);
    if (this->client)
        this->client->stop();
}

void WatchThread::run()
{
    while (!this->stopping) {
        Milliseconds const now = Clock::now();
        if (this->active() && this->backoff.allowsCall(now)) {
            this->watchOnce();
            continue;
        }
        double const wait = this->active() ? std::ceil((this->backoff.nextCallAt() - now).value) : maximumWaitMs;
        this->wakeup.tryWait(std::clamp(static_cast<long>(wait), 1L, maximumWaitMs));
    }
}

void WatchThread::watchOnce()
{
    auto const current = std::make_shared<StoreClient>(this->options.store, this->options.timeout);
    {
        std::lock_guard const lock(this->mutex);
        this->client = current;
    }
    Milliseconds const start = Clock::now();
    bool failed = false;
    std::string reason = "the watch ended within 1 s";
    try {
        uint64_t const revision = this->sendCurrentRoot(*current);
        if (this->active())
            current->watch(ConfigurationReader::rootKey, revision + 1, [&](StoreValue const& value) {
                return this->sendConfiguration(*current, ConfigurationReader::parseRootEntry(value).root);
            });
        failed = this->active() && Clock::now() - start < minimumWatchTime;
    } catch (Error const& error) {
        failed = true;
        reason = error.what();
    }
    {
        std::lock_guard const lock(this->mutex);
        this->client.reset();
    }
    if (!failed && this->backoff.onSuccess())
        LOG(INFO) << "the watch on the configuration works again";
    if (failed && this->backoff.onFailure(Clock::now()))
        LOG(WARNING) << "the watch on the configuration failed: " << reason;
}

uint64_t WatchThread::sendCurrentRoot(StoreClient& current)
{
    auto const entry = ConfigurationReader(current).readRootEntry();
    if (!entry || entry->root.version == this->lastSent.root.version) {
        StoreReply reply;
        reply.reachable = true;
        this->replies.send(std::move(reply));
    } else {
        this->sendConfiguration(current, entry->root);
    }
    return entry ? entry->revision : 0;
}

bool WatchThread::sendConfiguration(StoreClient& current, ConfigurationRoot const& root)
{
    this->lastSent = ConfigurationReader(current).readUpdate(root, this->lastSent.parts);
    StoreReply reply;
    reply.reachable = true;
    reply.update = this->lastSent;
    return this->replies.send(std::move(reply)) && this->active();
}

} // namespace Toucan
