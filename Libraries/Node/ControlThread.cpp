#include "Node/ControlThread.h"

#include "Base/Error.h"
#include "Node/ConfigurationReader.h"
#include "Node/OwnershipStore.h"
#include "Platform/StoreClient.h"
#include "Platform/VmListClient.h"
#include <algorithm>
#include <cmath>
#include <glog/logging.h>

namespace Toucan {

/// Number of requests that the ring from the engine holds.
static constexpr size_t requestCapacity = 256;
static constexpr long maximumWaitMs = 1000;

ControlThread::ControlThread(Options threadOptions, StoreReplyHandler sink)
    : options(std::move(threadOptions))
    , client(std::make_unique<StoreClient>(this->options.store, this->options.timeout))
    , replies(std::move(sink))
    , requests(requestCapacity)
    , storeBackoff(this->options.backoffDelays)
    , vmListBackoff(this->options.backoffDelays)
    , thread([this] { this->run(); })
{
}

ControlThread::~ControlThread() { this->stop(); }

void ControlThread::request(StoreRequest&& request)
{
    if (!this->requests.tryPush(request))
        ++this->dropped;
    this->wakeup.set();
}

void ControlThread::stop()
{
    this->stopping = true;
    this->client->stop();
    this->replies.stop();
    this->wakeup.set();
    if (this->thread.joinable())
        this->thread.join();
}

void ControlThread::run()
{
    while (!this->stopping) {
        this->takeRequests();
        if (long const wait = this->waitMilliseconds(); wait > 0)
            this->wakeup.tryWait(wait);
        else
            this->handleNext();
    }
}

void ControlThread::takeRequests()
{
    for (StoreRequest request; this->requests.tryPop(request);) {
        auto const sameWrite = [&request](StoreRequest const& other) {
            return request.kind == StoreRequest::Kind::WriteOwnership && other.kind == request.kind
                && other.record.range == request.record.range;
        };
        // The engine repeats the write of a range when the reply takes too long; only the latest write counts.
        if (auto const older = std::find_if(this->waiting.begin(), this->waiting.end(), sameWrite);
            older != this->waiting.end())
            *older = std::move(request);
        else
            this->waiting.emplace_back(std::move(request));
    }
}

/// Returns 0 when a request can be handled now.
long ControlThread::waitMilliseconds() const
{
    if (this->waiting.empty())
        return maximumWaitMs;
    bool const onlyWrites = std::all_of(this->waiting.begin(), this->waiting.end(),
        [](StoreRequest const& request) { return request.kind == StoreRequest::Kind::WriteOwnership; });
    double const wait = std::ceil((this->storeBackoff.nextCallAt() - Clock::now()).value);
    if (!onlyWrites || wait <= 0)
        return 0;
    return std::min(maximumWaitMs, static_cast<long>(wait));
}

void ControlThread::handleNext()
{
    bool const storeAllowed = this->storeBackoff.allowsCall(Clock::now());
    auto const next
        = std::find_if(this->waiting.begin(), this->waiting.end(), [storeAllowed](StoreRequest const& request) {
              return storeAllowed || request.kind != StoreRequest::Kind::WriteOwnership;
          });
    if (next == this->waiting.end())
        return;
    StoreRequest const request = std::move(*next);
    this->waiting.erase(next);
    this->replies.send(this->execute(request));
}

CallBackoff& ControlThread::backoffFor(StoreRequest const& request)
{
    return request.kind == StoreRequest::Kind::ReadVmList ? this->vmListBackoff : this->storeBackoff;
}

StoreReply ControlThread::execute(StoreRequest const& request)
{
    StoreReply reply;
    reply.kind = request.kind;
    reply.range = request.record.range;
    CallBackoff& backoff = this->backoffFor(request);
    if (!backoff.allowsCall(Clock::now()))
        return reply;
    char const* const platformService = &backoff == &this->vmListBackoff ? "list of VMs" : "key-value store";
    try {
        switch (request.kind) {
        case StoreRequest::Kind::ReadConfiguration:
            this->readConfiguration(request, reply);
            break;
        case StoreRequest::Kind::ReadOwnership:
            reply.records = OwnershipStore(*this->client).readAll();
            reply.reachable = true;
            break;
        case StoreRequest::Kind::WriteOwnership:
            this->writeOwnership(request, reply);
            break;
        case StoreRequest::Kind::ReadVmList:
            reply.vms = readVmList(this->options.vmList, this->options.timeout);
            reply.reachable = true;
            break;
        }
    } catch (Error const& error) {
        // The service answered, but the value is unusable; this must not delay other calls.
        reply.reachable = error.kind() == ErrorKind::InvalidInput || error.kind() == ErrorKind::NotFound;
        if (reply.reachable)
            this->recordInvalidValue(platformService, error.what());
        else
            this->recordFailure(backoff, platformService, error.what());
        return reply;
    }
    if (reply.reachable)
        this->recordSuccess(backoff, platformService);
    else
        this->recordFailure(backoff, platformService, "A write got no answer");
    return reply;
}

void ControlThread::readConfiguration(StoreRequest const& request, StoreReply& reply)
{
    ConfigurationReader reader(*this->client);
    auto const entry = reader.readRootEntry();
    if (entry)
        reply.update = reader.readUpdate(
            entry->root, std::set<std::string>(request.knownHashes.begin(), request.knownHashes.end()));
    reply.reachable = true;
}

void ControlThread::writeOwnership(StoreRequest const& request, StoreReply& reply)
{
    auto const outcome = OwnershipStore(*this->client).write(request.record, request.expectedRevision);
    reply.writeResult = outcome.result;
    reply.current = outcome.current;
    reply.reachable = outcome.reachable;
}

void ControlThread::recordFailure(CallBackoff& backoff, char const* platformService, std::string const& detail)
{
    if (backoff.onFailure(Clock::now()))
        LOG(WARNING) << "the " << platformService << " is not reachable: " << detail;
}

void ControlThread::recordInvalidValue(char const* platformService, std::string const& detail)
{
    if (detail != this->lastInvalidValue)
        LOG(ERROR) << "the " << platformService << " holds an unusable value: " << detail;
    this->lastInvalidValue = detail;
}

void ControlThread::recordSuccess(CallBackoff& backoff, char const* platformService)
{
    if (backoff.onSuccess())
        LOG(INFO) << "the " << platformService << " is reachable again";
}

} // namespace Toucan
