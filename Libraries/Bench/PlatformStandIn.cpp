#include "Bench/PlatformStandIn.h"

#include "Base/Base64.h"
#include "Base/Error.h"
#include "Base/Json.h"
#include "Bench/KeyValueStore.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>

namespace Toucan {

/// Three connections for each of 70 nodes (store, watch, list of VMs) and some for operators and tests.
static constexpr int serverThreads = 256;
static constexpr int serverQueue = 512;
static constexpr size_t requestLimitBytes = 16 << 20;
/// Interval at which a waiting watch checks whether its client has disconnected.
static constexpr std::chrono::milliseconds watchCheckInterval { 100 };
static constexpr std::chrono::milliseconds leaseCheckInterval { 50 };

enum class CallKind {
    Read,
    Write,
    Watch,
    VmRead,
};
static constexpr std::array<char const*, 4> callKindNames { "reads", "writes", "watches", "vmReads" };

/// Counts calls in total, by client and by second.
class CallCounters {
public:
    void count(CallKind kind, std::string const& client, Milliseconds now)
    {
        Counter& counter = this->counters[static_cast<size_t>(kind)];
        ++counter.total;
        ++this->byClient[client];
        auto const second = static_cast<uint64_t>(now.value / 1000);
        if (second != counter.second)
            counter.callsInSecond = 0;
        counter.second = second;
        counter.peak = std::max(counter.peak, ++counter.callsInSecond);
    }

    void countOutage() { ++this->duringOutage; }

    Json::Value describe() const
    {
        Json::Value result;
        for (size_t index = 0; index < callKindNames.size(); ++index) {
            result[callKindNames[index]] = static_cast<Json::UInt64>(this->counters[index].total);
            result["peakPerSecond"][callKindNames[index]] = static_cast<Json::UInt64>(this->counters[index].peak);
        }
        result["duringOutage"] = static_cast<Json::UInt64>(this->duringOutage);
        result["callsByClient"] = Json::objectValue;
        for (auto const& [client, calls] : this->byClient)
            result["callsByClient"][client] = static_cast<Json::UInt64>(calls);
        return result;
    }

private:
    /// `callsInSecond` is the number of calls in `second`, the second of Clock::now() of the last call; `peak` is its
    /// maximum.
    struct Counter {
        uint64_t total { 0 };
        uint64_t second { 0 };
        uint64_t callsInSecond { 0 };
        uint64_t peak { 0 };
    };
    std::array<Counter, callKindNames.size()> counters;
    std::map<std::string, uint64_t> byClient;
    uint64_t duringOutage { 0 };
};

class PlatformStandIn::Implementation {
public:
    explicit Implementation(Options const& options)
        : vmListLag(options.vmListLag)
        , threads(2, serverThreads)
    {
        checkVms(options.vms);
        this->vmLists.emplace_back(Milliseconds {}, options.vms);
        this->listener = listenOn(options.listen);
        this->address = this->listener.address().toString();
        auto parameters = Poco::makeAuto<Poco::Net::HTTPServerParams>();
        parameters->setMaxThreads(serverThreads);
        parameters->setMaxQueued(serverQueue);
        parameters->setKeepAlive(true);
        parameters->setMaxKeepAliveRequests(0);
        parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
        parameters->setTimeout(Poco::Timespan(60, 0));
        this->server
            = std::make_unique<Poco::Net::HTTPServer>(new Factory(*this), this->threads, this->listener, parameters);
        this->server->start();
        this->leaseThread = std::thread([this] { this->expireLeases(); });
    }

    ~Implementation()
    {
        {
            std::lock_guard const lock(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_all();
        this->leaseThread.join();
        // Wakes POCO's listener thread, which otherwise checks its stop flag only every 250 ms.
        ::shutdown(this->listener.impl()->sockfd(), SHUT_RDWR);
        this->server->stopAll(true);
        this->threads.joinAll();
    }

    std::string address;

    void control(Json::Value const& command)
    {
        if (!command.isObject())
            throw invalidControl("The command is not an object");
        checkControl(command);
        std::lock_guard const lock(this->mutex);
        if (command.isMember("outage"))
            this->outage = command["outage"].asBool();
        if (command.isMember("delayMs"))
            this->delay = Milliseconds { command["delayMs"].asDouble() };
        if (command.isMember("loseWriteAnswers"))
            this->answersToLose = command["loseWriteAnswers"].asUInt64();
        if (command.isMember("vms"))
            this->vmLists.emplace_back(Clock::now() + this->vmListLag, command["vms"]);
        this->changed.notify_all();
    }

    Json::Value counters() const
    {
        std::lock_guard const lock(this->mutex);
        Json::Value result = this->calls.describe();
        result["waitingWatches"] = static_cast<Json::UInt64>(this->waitingWatches);
        result["revision"] = static_cast<Json::UInt64>(this->store.revision());
        return result;
    }

private:
    /// One request on a server thread.
    class Handler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit Handler(Implementation& platform)
            : platform(platform)
        {
        }
        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            this->platform.handle(request, response);
        }

    private:
        Implementation& platform;
    };

    class Factory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit Factory(Implementation& platform)
            : platform(platform)
        {
        }
        Poco::Net::HTTPRequestHandler* createRequestHandler(Poco::Net::HTTPServerRequest const&) override
        {
            return new Handler(this->platform);
        }

    private:
        Implementation& platform;
    };

    static Error invalidControl(std::string const& message)
    {
        return { ErrorKind::InvalidInput, message, "See the options of POST /control in Bench/PlatformStandIn.h" };
    }

    static void checkVms(Json::Value const& vms)
    {
        if (!vms.isArray())
            throw invalidControl("The list of VMs is not an array");
        for (auto const& vm : vms) {
            for (char const* member : { "name", "address", "failureDomain", "state" }) {
                if (!vm.isObject() || !vm[member].isString())
                    throw invalidControl(std::string("A VM has no text member '") + member + "'");
            }
        }
    }

    static void checkControl(Json::Value const& command)
    {
        for (auto const& name : command.getMemberNames()) {
            Json::Value const& value = command[name];
            bool const valid = name == "outage" ? value.isBool()
                : name == "delayMs"             ? value.isDouble() && value.asDouble() >= 0
                : name == "loseWriteAnswers"    ? value.isUInt64()
                                                : name == "vms";
            if (!valid)
                throw invalidControl("Unknown member or bad value: '" + name + "'");
        }
        if (command.isMember("vms"))
            checkVms(command["vms"]);
    }

    static Poco::Net::ServerSocket listenOn(std::string const& address)
    {
        try {
            return Poco::Net::ServerSocket(Poco::Net::SocketAddress(address), serverQueue);
        } catch (Poco::Exception const& exception) {
            throw Error(ErrorKind::InvalidSettings, "Cannot listen on '" + address + "': " + exception.displayText(),
                "Give a free IP address and port, as in 127.0.0.1:2379");
        }
    }

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        std::string const path = request.getURI();
        try {
            if (path == "/control") {
                this->handleControl(request, response);
                return;
            }
            if (this->countCallAndCheckOutage(request)) {
                closeWithoutAnswer(request, response);
                return;
            }
            if (path == "/v3/watch")
                this->handleWatch(request, response);
            else
                this->handleCall(path, request, response);
        } catch (Error const& error) {
            sendError(response, error);
        } catch (Json::Exception const& exception) {
            sendError(response, Error(ErrorKind::InvalidInput, exception.what(), "Send a valid request"));
        } catch (Poco::Exception const&) {
            // The client closed the connection, so no answer can be sent.
            response.setKeepAlive(false);
        }
    }

    /// Counts the call. Returns whether the platform is in an outage.
    bool countCallAndCheckOutage(Poco::Net::HTTPServerRequest& request)
    {
        std::lock_guard const lock(this->mutex);
        if (this->outage) {
            this->calls.countOutage();
            return true;
        }
        CallKind const kind = kindOf(request.getURI());
        this->calls.count(kind, request.clientAddress().host().toString(), Clock::now());
        return false;
    }

    static CallKind kindOf(std::string const& path)
    {
        if (path == "/vms")
            return CallKind::VmRead;
        if (path == "/v3/kv/range")
            return CallKind::Read;
        return path == "/v3/watch" ? CallKind::Watch : CallKind::Write;
    }

    static void closeWithoutAnswer(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        response.setKeepAlive(false);
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    }

    static Json::Value readRequest(Poco::Net::HTTPServerRequest& request)
    {
        std::string body;
        std::array<char, 16384> buffer {};
        while (request.stream().good() && body.size() <= requestLimitBytes) {
            request.stream().read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
            body.append(buffer.data(), static_cast<size_t>(request.stream().gcount()));
        }
        if (body.size() > requestLimitBytes)
            throw Error(ErrorKind::LimitExceeded, "etcdserver: request is too large", "Keep values within 1 MB");
        Json::Value value = parseJson(body);
        if (!value.isObject())
            throw Error(ErrorKind::InvalidInput, "The request is not a JSON object", "Send a JSON object");
        return value;
    }

    static void send(Poco::Net::HTTPServerResponse& response, Json::Value const& value)
    {
        std::string const body = writeJson(value);
        response.setContentType("application/json");
        response.sendBuffer(body.data(), body.size());
    }

    static void sendError(Poco::Net::HTTPServerResponse& response, Error const& error)
    {
        if (response.sent())
            return;
        bool const missing = error.kind() == ErrorKind::NotFound;
        response.setStatus(
            missing ? Poco::Net::HTTPResponse::HTTP_NOT_FOUND : Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
        Json::Value body;
        body["error"] = error.detail();
        body["message"] = error.detail();
        // Status codes of gRPC that the gateway passes on: 5 is NOT_FOUND, 3 is INVALID_ARGUMENT.
        body["code"] = missing ? 5 : 3;
        send(response, body);
    }

    void handleControl(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST)
            this->control(readRequest(request));
        send(response, this->counters());
    }

    void handleCall(
        std::string const& path, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        Json::Value const body = path == "/vms" ? Json::Value() : readRequest(request);
        Milliseconds wait;
        bool loseAnswer = false;
        Json::Value answer;
        {
            std::lock_guard const lock(this->mutex);
            answer = this->execute(path, body);
            wait = this->delay;
            if (path == "/v3/kv/txn" && answer["succeeded"].isBool() && this->answersToLose) {
                --this->answersToLose;
                loseAnswer = true;
            }
        }
        this->changed.notify_all();
        this->waitBeforeAnswer(wait);
        if (loseAnswer) {
            closeWithoutAnswer(request, response);
            return;
        }
        // The gateway answers keepalive as a stream of one message.
        if (path == "/v3/lease/keepalive") {
            Json::Value message;
            message["result"] = answer;
            answer = message;
        }
        send(response, answer);
    }

    Json::Value execute(std::string const& path, Json::Value const& body)
    {
        Milliseconds const now = Clock::now();
        if (path == "/vms")
            return this->visibleVms(now);
        if (path == "/v3/kv/range")
            return this->store.range(body);
        if (path == "/v3/kv/txn")
            return this->store.transact(body, now);
        if (path == "/v3/lease/grant")
            return this->store.grantLease(body, now);
        if (path == "/v3/lease/keepalive")
            return this->store.keepLeaseAlive(body, now);
        if (path == "/v3/lease/revoke")
            return this->store.revokeLease(body);
        throw Error(ErrorKind::NotFound, "Not Found", "Use a path that docs/design.md lists in section 3.3");
    }

    Json::Value visibleVms(Milliseconds now)
    {
        while (this->vmLists.size() > 1 && this->vmLists[1].first <= now)
            this->vmLists.pop_front();
        return this->vmLists.front().second;
    }

    void waitBeforeAnswer(Milliseconds wait)
    {
        if (wait <= Milliseconds {})
            return;
        std::unique_lock lock(this->mutex);
        auto const end = std::chrono::steady_clock::now() + std::chrono::duration<double, std::milli>(wait.value);
        this->changed.wait_until(lock, end, [this] { return this->stopping; });
    }

    void handleWatch(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        Json::Value const body = readRequest(request);
        Json::Value const& create = body["create_request"];
        if (!create.isObject() || !create["key"].isString())
            throw Error(ErrorKind::InvalidInput, "A watch without create_request", "Name the key to watch");
        std::string const first = decodeBase64(create["key"].asString());
        std::string const end = KeyValueStore::rangeEnd(create, first);
        size_t position = this->firstPosition(create["start_revision"]);
        response.setChunkedTransferEncoding(true);
        response.setContentType("application/json");
        response.setKeepAlive(false);
        std::ostream& stream = response.send();
        Json::Value created;
        created["result"]["created"] = true;
        stream << writeJson(created) << '\n' << std::flush;
        auto& socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
        this->adjustWaitingWatches(1);
        try {
            while (stream.good() && this->waitForEvents(position)) {
                this->sendEvents(stream, position, first, end);
                // A client sends nothing more on a watch; a readable socket means that it closed.
                if (socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ))
                    break;
            }
        } catch (Poco::Exception const&) {
            this->adjustWaitingWatches(-1);
            throw;
        }
        this->adjustWaitingWatches(-1);
        socket.shutdown();
    }

    size_t firstPosition(Json::Value const& startRevision)
    {
        std::lock_guard const lock(this->mutex);
        if (startRevision.isNull())
            return this->store.eventCount();
        uint64_t const revision = startRevision.isString() ? std::strtoull(startRevision.asCString(), nullptr, 10)
                                                           : startRevision.asUInt64();
        return this->store.positionOf(revision);
    }

    void adjustWaitingWatches(int change)
    {
        std::lock_guard const lock(this->mutex);
        this->waitingWatches += change;
    }

    /// Waits for an event, but no longer than watchCheckInterval. Returns false when the watch must end.
    bool waitForEvents(size_t position)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, watchCheckInterval,
            [this, position] { return this->stopping || this->outage || this->store.eventCount() > position; });
        return !this->stopping && !this->outage;
    }

    void sendEvents(std::ostream& stream, size_t& position, std::string const& first, std::string const& end)
    {
        Json::Value message;
        Milliseconds wait;
        {
            std::lock_guard const lock(this->mutex);
            message["result"]["header"] = this->store.header();
            message["result"]["events"] = this->store.eventsFrom(position, first, end);
            position = this->store.eventCount();
            wait = this->delay;
        }
        if (message["result"]["events"].empty())
            return;
        this->waitBeforeAnswer(wait);
        stream << writeJson(message) << '\n' << std::flush;
    }

    void expireLeases()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            this->changed.wait_for(lock, leaseCheckInterval, [this] { return this->stopping; });
            if (this->store.expireLeases(Clock::now()))
                this->changed.notify_all();
        }
    }

    mutable std::mutex mutex;
    std::condition_variable changed;
    bool stopping { false };
    bool outage { false };
    Milliseconds delay;
    uint64_t answersToLose { 0 };
    KeyValueStore store;
    CallCounters calls;
    int waitingWatches { 0 };
    Milliseconds vmListLag;
    /// Time from which a list is visible, and the list.
    std::deque<std::pair<Milliseconds, Json::Value>> vmLists;
    Poco::ThreadPool threads;
    Poco::Net::ServerSocket listener;
    std::unique_ptr<Poco::Net::HTTPServer> server;
    std::thread leaseThread;
};

PlatformStandIn::PlatformStandIn(Options const& options)
    : implementation(std::make_unique<Implementation>(options))
{
}

PlatformStandIn::~PlatformStandIn() = default;

std::string PlatformStandIn::endpoint() const { return this->implementation->address; }

void PlatformStandIn::control(Json::Value const& command) { this->implementation->control(command); }

Json::Value PlatformStandIn::counters() const { return this->implementation->counters(); }

} // namespace Toucan
