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

static constexpr size_t requestCapacity = 256;
static constexpr long longestWaitMs = 1000;

ControlThread::ControlThread(Options threadOptions, StoreReplyHandler sink)
    : options(std::move(threadOptions))
    , client(std::make_unique<StoreClient>(this->options.store, this->options.timeout))
    , replies(std::move(sink))
    , requests(requestCapacity)
    , storeGate(this->options.pauses)
    , vmListGate(this->options.pauses)
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
        // The engine asks again for a range when it has waited too long; only its last wish counts.
        if (auto const older = std::find_if(this->waiting.begin(), this->waiting.end(), sameWrite);
            older != this->waiting.end())
            *older = std::move(request);
        else
            this->waiting.emplace_back(std::move(request));
    }
}

/// 0 when a request can be answered now.
long ControlThread::waitMilliseconds() const
{
    if (this->waiting.empty())
        return longestWaitMs;
    bool const onlyWrites = std::all_of(this->waiting.begin(), this->waiting.end(),
        [](StoreRequest const& request) { return request.kind == StoreRequest::Kind::WriteOwnership; });
    double const wait = std::ceil((this->storeGate.opensAt() - Clock::now()).value);
    if (!onlyWrites || wait <= 0)
        return 0;
    return std::min(longestWaitMs, static_cast<long>(wait));
}

void ControlThread::handleNext()
{
    bool const storeOpen = this->storeGate.open(Clock::now());
    auto const next
        = std::find_if(this->waiting.begin(), this->waiting.end(), [storeOpen](StoreRequest const& request) {
              return storeOpen || request.kind != StoreRequest::Kind::WriteOwnership;
          });
    if (next == this->waiting.end())
        return;
    StoreRequest const request = std::move(*next);
    this->waiting.erase(next);
    this->replies.send(this->execute(request));
}

CallGate& ControlThread::gateOf(StoreRequest const& request)
{
    return request.kind == StoreRequest::Kind::ReadVmList ? this->vmListGate : this->storeGate;
}

StoreReply ControlThread::execute(StoreRequest const& request)
{
    StoreReply reply;
    reply.kind = request.kind;
    reply.range = request.record.range;
    CallGate& gate = this->gateOf(request);
    if (!gate.open(Clock::now()))
        return reply;
    char const* const what = &gate == &this->vmListGate ? "list of VMs" : "key-value store";
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
        // The store answered, but what it holds cannot be used; that must not keep back other calls.
        reply.reachable = error.kind() == ErrorKind::InvalidInput || error.kind() == ErrorKind::NotFound;
        if (reply.reachable)
            this->noteInvalid(what, error.what());
        else
            this->noteFailure(gate, what, error.what());
        return reply;
    }
    if (reply.reachable)
        this->noteSuccess(gate, what);
    else
        this->noteFailure(gate, what, "A write got no answer");
    return reply;
}

void ControlThread::readConfiguration(StoreRequest const& request, StoreReply& reply)
{
    ConfigurationReader reader(*this->client);
    auto const head = reader.readHead();
    if (head)
        reply.update = reader.complete(
            head->root, std::set<std::string>(request.knownHashes.begin(), request.knownHashes.end()));
    reply.reachable = true;
}

void ControlThread::writeOwnership(StoreRequest const& request, StoreReply& reply)
{
    auto const outcome = OwnershipStore(*this->client).write(request.record, request.expectedRevision);
    reply.writeResult = outcome.result;
    reply.current = outcome.current;
    reply.reachable = outcome.reachable;
}

void ControlThread::noteFailure(CallGate& gate, char const* what, std::string const& detail)
{
    if (gate.onFailure(Clock::now()))
        LOG(WARNING) << "the " << what << " is not reachable: " << detail;
}

void ControlThread::noteInvalid(char const* what, std::string const& detail)
{
    if (detail != this->lastInvalid)
        LOG(ERROR) << "the " << what << " holds an unusable value: " << detail;
    this->lastInvalid = detail;
}

void ControlThread::noteSuccess(CallGate& gate, char const* what)
{
    if (gate.onSuccess())
        LOG(INFO) << "the " << what << " is reachable again";
}

} // namespace Toucan
