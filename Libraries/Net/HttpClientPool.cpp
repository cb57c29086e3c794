#include "Net/HttpClientPool.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <charconv>
#include <deque>
#include <optional>
#include <sstream>
#include <vector>

namespace Toucan {

/// Idle connections are closed this much before the server's timeout, so that no request is sent while the server
/// closes the connection.
constexpr Milliseconds idleCloseMargin { 500 };
/// An exchange with at most this time left is not sent, because it cannot complete any more.
constexpr Milliseconds minimumRemainingTime { 1 };
/// Interim responses and responses to earlier requests that one exchange skips. A server that sends more of them is
/// faulty, and each one costs the loop as much as a usable response.
constexpr uint32_t maximumSkippedResponses = 8;

std::string describeFailure(HttpClientResult const& result)
{
    switch (result.transport) {
    case HttpTransportStatus::Answered:
        return "status " + std::to_string(static_cast<int>(result.head.getStatus()));
    case HttpTransportStatus::TimedOut:
        return "no answer in time";
    case HttpTransportStatus::ConnectFailed:
    case HttpTransportStatus::NoConnection:
        return "no connection";
    case HttpTransportStatus::Rejected:
        return "connection reset at once";
    case HttpTransportStatus::Withdrawn:
        return "withdrawn before it was sent";
    case HttpTransportStatus::Broken:
        break;
    }
    return result.fault.empty() ? "connection broke" : result.fault;
}

namespace {

    /// The parameter "timeout" of a Keep-Alive header (RFC 2068, section 19.7.1.1).
    std::optional<Milliseconds> keepAliveTimeout(Poco::Net::HTTPResponse const& head)
    {
        constexpr std::string_view parameter = "timeout=";
        // Copied: get() returns a reference to its second argument when the field is missing.
        auto const value = head.get("Keep-Alive", "");
        auto const start = value.find(parameter);
        if (start == std::string::npos)
            return std::nullopt;
        uint32_t seconds = 0;
        auto const* const first = value.data() + start + parameter.size();
        if (std::from_chars(first, value.data() + value.size(), seconds).ec != std::errc())
            return std::nullopt;
        return Milliseconds { seconds * 1000.0 };
    }

    struct PendingExchange {
        HttpExchange exchange;
        EventLoop::Timer timer;
        bool repeated { false };
        /// Whether bytes of the request were sent on any connection.
        bool sent { false };

        bool maySend() const { return !this->exchange.maySend || this->exchange.maySend(); }
    };
    using PendingPointer = std::shared_ptr<PendingExchange>;

    std::string writeRequest(Poco::Net::HTTPRequest head, std::string const& endpoint, size_t bodySize)
    {
        head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        if (!head.has(Poco::Net::HTTPRequest::HOST))
            head.setHost(endpoint);
        // HTTP/1.1 connections are persistent by default (RFC 9112, section 9.3).
        head.erase("Connection");
        if (bodySize || head.getMethod() == Poco::Net::HTTPRequest::HTTP_POST)
            head.setContentLength(static_cast<std::streamsize>(bodySize));
        std::ostringstream text;
        head.write(text);
        return text.str();
    }

    /// One connection with at most one exchange.
    class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
    public:
        using Pointer = std::shared_ptr<ClientConnection>;
        struct Hooks {
            /// The response is complete; the connection can serve another exchange when `reusable`.
            std::function<void(Pointer const&, HttpClientResult&&, bool reusable)> answered;
            /// The connection was closed before its exchange was answered. `fault` as in HttpClientResult.
            std::function<void(Pointer const&, HttpTransportStatus, std::string const& fault)> failed;
            /// The exchange may not be sent any more; nothing of it was written to this connection.
            std::function<void(Pointer const&)> declined;
        };

        ClientConnection(EventLoop& loop, HttpClientPool::Limits const& limits, Hooks hooks)
            : loop(loop)
            , limits(limits)
            , hooks(std::move(hooks))
            , reader(HttpMessageReader::Kind::Response, limits.sizes, limits.unframedBody)
        {
        }

        void connect(Poco::Net::SocketAddress const& address)
        {
            SocketChannel::Hooks channelHooks;
            auto const self = this->shared_from_this();
            channelHooks.connected = [self] { self->sendWhenReady(); };
            channelHooks.received = [self] { self->onReceived(); };
            channelHooks.ended = [self](SocketChannel::End end) { self->onEnded(end); };
            this->channel = SocketChannel::connect(this->loop, address, std::move(channelHooks));
            this->channel->setReceiveBytes(this->limits.receiveBytes);
        }

        /// Assigns the exchange to this connection now and sends its request when the connection is established and the
        /// delay has passed. Until then nothing is written, so that the exchange can be withdrawn.
        void start(PendingPointer next, std::string const& endpoint, Milliseconds delay = {})
        {
            this->pending = std::move(next);
            this->endpoint = endpoint;
            this->written = false;
            this->delayed = delay > Milliseconds {};
            this->skipped = 0;
            this->resetReader();
            this->sentBefore = this->channel->sent();
            if (auto const& assigned = this->pending->exchange.assigned)
                assigned();
            if (this->delayed)
                this->graceTimer = this->loop.schedule(Clock::now() + delay, [self = this->shared_from_this()] {
                    self->delayed = false;
                    self->sendWhenReady();
                });
            this->sendWhenReady();
        }

        /// Closes without calling the hooks.
        void close()
        {
            this->memory.reset();
            this->channel->close();
        }

        bool isConnected() const { return this->channel->isConnected(); }
        PendingPointer const& current() const { return this->pending; }
        PendingPointer takeCurrent() { return std::exchange(this->pending, nullptr); }
        bool hasServed() const { return this->served; }
        bool hasSent() const { return this->channel->sent() > this->sentBefore; }
        bool hasReceived() const { return this->receivedAny; }
        /// Whether the request of the current exchange was given to the channel.
        bool hasWritten() const { return this->written; }
        /// The server's idle timeout, if its Keep-Alive header states one.
        std::optional<Milliseconds> idleTimeout() const { return this->serverIdleTimeout; }

        Milliseconds openedAt { Clock::now() };
        EventLoop::Timer idleTimer;
        EventLoop::Timer connectTimer;
        EventLoop::Timer graceTimer;

    private:
        void sendWhenReady()
        {
            if (!this->pending || this->written || this->delayed || !this->channel->isConnected())
                return;
            if (!this->pending->maySend()) {
                this->hooks.declined(this->shared_from_this());
                return;
            }
            this->written = true;
            auto& exchange = this->pending->exchange;
            if (exchange.beforeSending)
                exchange.beforeSending(exchange.head);
            this->channel->write(
                writeRequest(exchange.head, this->endpoint, exchange.body ? exchange.body->size() : 0));
            if (exchange.body)
                this->channel->write(exchange.body);
        }

        void resetReader()
        {
            this->headReported = false;
            auto sizes = this->limits.sizes;
            if (this->pending->exchange.bodyLimit)
                sizes.bodyBytes = this->pending->exchange.bodyLimit;
            this->reader = HttpMessageReader(HttpMessageReader::Kind::Response, sizes, this->limits.unframedBody);
            if (this->pending->exchange.head.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD)
                this->reader.expectNoBody();
        }

        HttpMessageReader::Status readResponse()
        {
            auto const status = this->reader.read(this->channel->input());
            if (this->reader.hasHead() && !std::exchange(this->headReported, true)) {
                if (auto const& onHead = this->pending->exchange.onResponseHead)
                    onHead(this->reader.response());
            }
            return status;
        }

        bool shouldSkipResponse()
        {
            auto const& isOwn = this->pending->exchange.isOwnResponse;
            return this->isInformational() || (isOwn && !isOwn(this->reader.response(), !this->served));
        }

        void onEnded(SocketChannel::End end)
        {
            bool const complete = end == SocketChannel::End::PeerClosed && this->pending && this->written
                && this->receivedAny && this->reader.finishAtClose() && !this->shouldSkipResponse();
            if (complete)
                this->finishExchange(false);
            else
                this->fail();
        }

        void onReceived()
        {
            using Status = HttpMessageReader::Status;
            auto const self = this->shared_from_this();
            this->receivedAny = true;
            if (!this->pending) {
                this->fail("a response that nobody waits for");
                return;
            }
            // Nothing may answer an exchange of which nothing was written: the connection would be kept as idle with
            // the request still to be sent.
            if (!this->written) {
                this->fail("a response before its request");
                return;
            }
            auto status = this->readResponse();
            while (status == Status::Complete && this->shouldSkipResponse()) {
                if (++this->skipped > maximumSkippedResponses) {
                    this->fail("too many interim responses or responses to other requests");
                    return;
                }
                this->resetReader();
                status = this->readResponse();
            }
            if (status == Status::NeedMore) {
                this->accountForInput();
                return;
            }
            if (status != Status::Complete) {
                this->fail("response: " + std::string(toString(status)));
                return;
            }
            // A response that arrives before the request was sent completely leaves the connection in an unknown state.
            this->finishExchange(
                this->reader.response().getKeepAlive() && this->channel->input().empty() && !this->channel->unsent());
        }

        /// Accounts for the buffered response and stops reading while the budget is exhausted.
        void accountForInput()
        {
            if (!this->limits.budget)
                return;
            if (!this->memory)
                this->memory = this->limits.budget->createHolder();
            this->channel->accountInput(*this->memory, this->reader.body().size() + this->channel->input().size());
        }

        bool isInformational() { return static_cast<int>(this->reader.response().getStatus()) < 200; }

        void finishExchange(bool reusable)
        {
            this->served = true;
            this->receivedAny = false;
            this->serverIdleTimeout = keepAliveTimeout(this->reader.response());
            HttpClientResult result { HttpTransportStatus::Answered, this->reader.response(),
                std::move(this->reader.body()), {}, std::move(this->memory) };
            this->channel->setReading(true);
            if (result.memory)
                result.memory->complete();
            this->hooks.answered(this->shared_from_this(), std::move(result), reusable);
        }

        void fail(std::string const& fault = {})
        {
            auto const self = this->shared_from_this();
            this->memory.reset();
            this->channel->close();
            this->hooks.failed(
                self, this->hasSent() ? HttpTransportStatus::Broken : HttpTransportStatus::ConnectFailed, fault);
        }

        EventLoop& loop;
        HttpClientPool::Limits const& limits;
        std::optional<Milliseconds> serverIdleTimeout;
        Hooks hooks;
        std::shared_ptr<SocketChannel> channel;
        HttpMessageReader reader;
        std::shared_ptr<ByteBudget::Holder> memory;
        PendingPointer pending;
        std::string endpoint;
        /// Whether the request waits for the end of the delay after the connection was opened.
        bool delayed { false };
        bool written { false };
        /// Whether the exchange has been given the head of the response that is being read.
        bool headReported { false };
        uint32_t skipped { 0 };
        /// Bytes that were sent on the connection before the current exchange.
        uint64_t sentBefore { 0 };
        bool served { false };
        bool receivedAny { false };
    };

} // namespace

/// Connections and waiting exchanges of one endpoint.
class HttpClientPool::Endpoint : public std::enable_shared_from_this<Endpoint> {
public:
    Endpoint(EventLoop& loop, Limits limits, NewConnectionGrace& newConnectionGrace, std::string name)
        : loop(loop)
        , limits(std::move(limits))
        , newConnectionGrace(newConnectionGrace)
        , name(std::move(name))
    {
    }

    HttpExchangeHandle send(uint32_t connectionLimit, HttpExchange&& exchange)
    {
        this->connectionLimit = connectionLimit;
        auto const pending = std::make_shared<PendingExchange>(PendingExchange { std::move(exchange), {} });
        auto const timeout = pending->exchange.timeout;
        pending->timer = this->loop.schedule(
            Clock::now() + timeout, [self = this->shared_from_this(), pending] { self->onTimeout(pending); });
        if (this->startOnIdleConnection(pending) || this->startOnNewConnection(pending))
            return pending;
        bool const drop = pending->exchange.whenBusy == HttpExchange::WhenBusy::Drop;
        if (drop || this->waiting.size() >= this->limits.maximumWaiting)
            this->finishLater(pending, HttpTransportStatus::NoConnection);
        else
            this->waiting.push_back(pending);
        return pending;
    }

    void cancel(HttpExchangeHandle const& handle)
    {
        auto const target = handle.lock();
        if (!target)
            return;
        auto const pending = std::static_pointer_cast<PendingExchange>(target);
        this->loop.cancel(pending->timer);
        if (auto const connection = this->connectionOf(pending)) {
            connection->takeCurrent();
            this->remove(connection);
            this->startWaitingExchanges();
        } else {
            std::erase(this->waiting, pending);
        }
    }

    void withdrawUnsent()
    {
        auto const self = this->shared_from_this();
        for (auto const& connection : std::vector<Pointer>(this->connections)) {
            if (connection->current() && !connection->hasWritten() && !connection->current()->maySend())
                this->onDeclined(connection);
        }
        this->withdrawWaiting();
        this->startWaitingExchanges();
    }

    void closeIdle()
    {
        while (!this->idle.empty())
            this->remove(Pointer(this->idle.front()));
        this->startWaitingExchanges();
    }

    size_t runningExchanges() const { return this->connections.size() - this->idle.size() + this->waiting.size(); }

    void setConnectionLimit(uint32_t connectionLimit)
    {
        this->connectionLimit = connectionLimit;
        // The most recently used connection is the least likely to have been closed by the peer, so it is closed last.
        while (!this->idle.empty() && this->connections.size() > connectionLimit)
            this->remove(Pointer(this->idle.front()));
        if (connectionLimit == 0) {
            for (auto const& pending : std::exchange(this->waiting, {}))
                this->finishLater(
                    pending, pending->sent ? HttpTransportStatus::Broken : HttpTransportStatus::NoConnection);
        }
        this->startWaitingExchanges();
    }

    size_t openConnections() const { return this->connections.size(); }

    bool hasIdleConnection() const { return !this->idle.empty(); }

    void closeAll()
    {
        for (auto const& connection : std::exchange(this->connections, {})) {
            this->loop.cancel(connection->idleTimer);
            this->loop.cancel(connection->connectTimer);
            this->loop.cancel(connection->graceTimer);
            if (auto const pending = connection->takeCurrent())
                this->loop.cancel(pending->timer);
            connection->close();
        }
        for (auto const& pending : std::exchange(this->waiting, {}))
            this->loop.cancel(pending->timer);
        this->idle.clear();
    }

private:
    using Pointer = ClientConnection::Pointer;

    bool startOnIdleConnection(PendingPointer const& pending)
    {
        if (this->idle.empty() || pending->exchange.connection == HttpExchange::Connection::Fresh)
            return false;
        // The most recently used connection is the least likely to have been closed by the peer.
        auto const connection = this->idle.back();
        this->idle.pop_back();
        this->loop.cancel(connection->idleTimer);
        connection->start(pending, this->name);
        return true;
    }

    bool startOnNewConnection(PendingPointer const& pending)
    {
        // After the limit was lowered, more than one idle connection may have to be closed.
        while (this->connections.size() >= this->connectionLimit && !this->idle.empty())
            this->remove(Pointer(this->idle.front()));
        if (this->connections.size() >= this->connectionLimit)
            return false;
        ClientConnection::Hooks hooks;
        // Connections outlive neither the pool nor the loop; the pool closes them in its destructor.
        hooks.answered = [this](Pointer const& connection, HttpClientResult&& result, bool reusable) {
            this->onAnswered(connection, std::move(result), reusable);
        };
        hooks.failed = [this](Pointer const& connection, HttpTransportStatus transport, std::string const& fault) {
            this->onFailed(connection, transport, fault);
        };
        hooks.declined = [this](Pointer const& connection) { this->onDeclined(connection); };
        auto const connection = std::make_shared<ClientConnection>(this->loop, this->limits, std::move(hooks));
        try {
            connection->connect(Poco::Net::SocketAddress(this->name));
        } catch (Poco::Exception const&) {
            this->finishLater(pending, HttpTransportStatus::ConnectFailed);
            return true;
        }
        if (this->limits.connectionStarted)
            this->limits.connectionStarted();
        this->connections.push_back(connection);
        connection->connectTimer = this->loop.schedule(Clock::now() + this->limits.connectTimeout,
            [self = this->shared_from_this(), connection] { self->onConnectTimeout(connection); });
        connection->start(pending, this->name, this->newConnectionGrace.delay(Clock::now()));
        return true;
    }

    void onAnswered(Pointer const& connection, HttpClientResult&& result, bool reusable)
    {
        auto const self = this->shared_from_this();
        auto const pending = connection->takeCurrent();
        if (reusable && this->connections.size() <= this->connectionLimit)
            this->keepIdle(connection);
        else
            this->remove(connection);
        this->finish(pending, std::move(result));
        this->startWaitingExchanges();
    }

    void onDeclined(Pointer const& connection)
    {
        auto const pending = connection->takeCurrent();
        this->remove(connection);
        this->withdraw(pending);
    }

    void withdraw(PendingPointer const& pending)
    {
        this->finishLater(pending, pending->sent ? HttpTransportStatus::Broken : HttpTransportStatus::Withdrawn);
    }

    void withdrawWaiting()
    {
        std::erase_if(this->waiting, [this](PendingPointer const& pending) {
            bool const declined = !pending->maySend();
            if (declined)
                this->withdraw(pending);
            return declined;
        });
    }

    void onFailed(Pointer const& connection, HttpTransportStatus transport, std::string const& fault = {})
    {
        auto const self = this->shared_from_this();
        bool const unused = !connection->hasServed() && !connection->hasReceived();
        if (unused && connection->isConnected())
            this->newConnectionGrace.onEarlyReset(Clock::now() - connection->openedAt, Clock::now());
        if (connection->isConnected() && this->limits.connectionLost)
            this->limits.connectionLost(this->name);
        this->remove(connection);
        auto const pending = connection->takeCurrent();
        if (pending)
            pending->sent = pending->sent || connection->hasSent();
        if (pending && this->mayRepeat(*connection, *pending, transport)) {
            pending->repeated = true;
            if (!this->startOnNewConnection(pending))
                this->waiting.push_front(pending);
        } else if (pending) {
            HttpClientResult result;
            bool const rejected = unused && connection->isConnected();
            if (pending->sent)
                result.transport = HttpTransportStatus::Broken;
            else
                result.transport = rejected ? HttpTransportStatus::Rejected : transport;
            result.fault = fault;
            this->finish(pending, std::move(result));
        }
        this->startWaitingExchanges();
    }

    /// Whether to send the exchange again on another connection: once, when a reused connection failed before any
    /// byte of a response and either no byte was sent or the exchange allows it. The peer may have closed the
    /// connection before it received the request.
    static bool mayRepeat(
        ClientConnection const& connection, PendingExchange const& pending, HttpTransportStatus transport)
    {
        if (pending.repeated || !connection.hasServed() || connection.hasReceived())
            return false;
        return transport == HttpTransportStatus::ConnectFailed
            || pending.exchange.repeat == HttpExchange::Repeat::Allowed;
    }

    static HttpTransportStatus timeoutOf(PendingExchange const& pending)
    {
        return pending.sent ? HttpTransportStatus::TimedOut : HttpTransportStatus::ConnectFailed;
    }

    void onTimeout(PendingPointer const& pending)
    {
        auto const self = this->shared_from_this();
        auto const connection = this->connectionOf(pending);
        if (!connection) {
            std::erase(this->waiting, pending);
            this->finish(pending, timeoutOf(*pending));
            return;
        }
        connection->takeCurrent();
        pending->sent = pending->sent || connection->hasSent();
        this->remove(connection);
        this->finish(pending, timeoutOf(*pending));
        this->startWaitingExchanges();
    }

    Pointer connectionOf(PendingPointer const& pending) const
    {
        auto const found = std::find_if(this->connections.begin(), this->connections.end(),
            [&pending](Pointer const& connection) { return connection->current() == pending; });
        return found == this->connections.end() ? nullptr : *found;
    }

    void onConnectTimeout(Pointer const& connection)
    {
        if (connection->isConnected())
            return;
        auto const self = this->shared_from_this();
        connection->close();
        this->onFailed(connection, HttpTransportStatus::ConnectFailed);
    }

    void keepIdle(Pointer const& connection)
    {
        this->idle.push_back(connection);
        auto timeout = this->limits.idleTimeout;
        if (auto const server = connection->idleTimeout())
            timeout = std::min(timeout, std::max(*server - idleCloseMargin, Milliseconds {}));
        connection->idleTimer
            = this->loop.schedule(Clock::now() + timeout, [self = this->shared_from_this(), connection] {
                  self->remove(connection);
                  self->startWaitingExchanges();
              });
    }

    void remove(Pointer const& connection)
    {
        this->loop.cancel(connection->idleTimer);
        this->loop.cancel(connection->connectTimer);
        this->loop.cancel(connection->graceTimer);
        connection->close();
        std::erase(this->idle, connection);
        std::erase(this->connections, connection);
    }

    void finish(PendingPointer const& pending, HttpClientResult&& result)
    {
        this->loop.cancel(pending->timer);
        pending->exchange.done(std::move(result));
    }

    void finish(PendingPointer const& pending, HttpTransportStatus transport)
    {
        HttpClientResult result;
        result.transport = transport;
        this->finish(pending, std::move(result));
    }

    void finishLater(PendingPointer const& pending, HttpTransportStatus transport)
    {
        this->loop.cancel(pending->timer);
        this->loop.atTurnEnd(
            [self = this->shared_from_this(), pending, transport] { self->finish(pending, transport); });
    }

    void startWaitingExchanges()
    {
        this->withdrawWaiting();
        while (true) {
            // An expired exchange is ended by its timer; sending it would only cost the server work.
            auto const next = std::find_if(this->waiting.begin(), this->waiting.end(),
                [](auto const& entry) { return entry->timer.at - Clock::now() > minimumRemainingTime; });
            if (next == this->waiting.end())
                return;
            auto const pending = *next;
            if (pending->repeated ? !this->startOnNewConnection(pending)
                                  : !this->startOnIdleConnection(pending) && !this->startOnNewConnection(pending))
                return;
            std::erase(this->waiting, pending);
        }
    }

    EventLoop& loop;
    Limits limits;
    NewConnectionGrace& newConnectionGrace;
    std::string name;
    uint32_t connectionLimit { 1 };
    std::vector<Pointer> connections;
    std::vector<Pointer> idle;
    std::deque<PendingPointer> waiting;
};

HttpClientPool::HttpClientPool(EventLoop& loop, Limits limits)
    : loop(loop)
    , limits(std::move(limits))
    , newConnectionGrace(this->limits.maximumNewConnectionGrace)
{
}

HttpClientPool::~HttpClientPool()
{
    for (auto const& [name, endpoint] : this->endpoints)
        endpoint->closeAll();
}

HttpExchangeHandle HttpClientPool::send(std::string const& endpoint, uint32_t connections, HttpExchange&& exchange)
{
    auto& found = this->endpoints[endpoint];
    if (!found)
        found = std::make_shared<Endpoint>(this->loop, this->limits, this->newConnectionGrace, endpoint);
    return found->send(connections, std::move(exchange));
}

void HttpClientPool::cancel(std::string const& endpoint, HttpExchangeHandle const& handle)
{
    if (auto const found = this->endpoints.find(endpoint); found != this->endpoints.end())
        found->second->cancel(handle);
}

void HttpClientPool::withdrawUnsent(std::string const& endpoint)
{
    if (auto const found = this->endpoints.find(endpoint); found != this->endpoints.end())
        found->second->withdrawUnsent();
}

void HttpClientPool::closeIdle(std::string const& endpoint)
{
    if (auto const found = this->endpoints.find(endpoint); found != this->endpoints.end())
        found->second->closeIdle();
}

size_t HttpClientPool::runningExchanges(std::string const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second->runningExchanges();
}

void HttpClientPool::setConnectionLimit(std::string const& endpoint, uint32_t connections)
{
    if (auto const found = this->endpoints.find(endpoint); found != this->endpoints.end())
        found->second->setConnectionLimit(connections);
}

size_t HttpClientPool::openConnections(std::string const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second->openConnections();
}

bool HttpClientPool::hasIdleConnection(std::string const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && found->second->hasIdleConnection();
}

} // namespace Toucan
