#include "Net/HttpClientPool.h"

#include "Net/SocketChannel.h"
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <deque>
#include <sstream>
#include <vector>

namespace Toucan {

namespace {

    struct PendingExchange {
        HttpExchange exchange;
        EventLoop::Timer timer;
        bool repeated { false };
        /// Whether any connection has taken bytes of the request.
        bool sent { false };
    };
    using PendingPointer = std::shared_ptr<PendingExchange>;

    std::string writeRequest(Poco::Net::HTTPRequest head, std::string const& endpoint, size_t bodySize)
    {
        head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        head.setHost(endpoint);
        head.set("Connection", "keep-alive");
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
            /// The response is whole; the connection is free when `reusable`.
            std::function<void(Pointer const&, HttpClientResult&&, bool reusable)> answered;
            /// The connection is closed and has left its exchange unanswered.
            std::function<void(Pointer const&, HttpTransport)> failed;
        };

        ClientConnection(EventLoop& loop, HttpSizeLimits sizes, Hooks hooks)
            : loop(loop)
            , sizes(sizes)
            , hooks(std::move(hooks))
            , reader(HttpMessageReader::Kind::Response, sizes)
        {
        }

        void connect(Poco::Net::SocketAddress const& address)
        {
            SocketChannel::Hooks channelHooks;
            auto const self = this->shared_from_this();
            channelHooks.received = [self] { self->onReceived(); };
            channelHooks.ended = [self](SocketChannel::End) { self->fail(); };
            this->channel = SocketChannel::connect(this->loop, address, std::move(channelHooks));
        }

        void start(PendingPointer next, std::string const& endpoint)
        {
            this->pending = std::move(next);
            this->reader = HttpMessageReader(HttpMessageReader::Kind::Response, this->sizes);
            this->sentBefore = this->channel->sent();
            auto const& exchange = this->pending->exchange;
            this->channel->write(writeRequest(exchange.head, endpoint, exchange.body ? exchange.body->size() : 0));
            if (exchange.body)
                this->channel->write(*exchange.body);
        }

        /// Closes without a call of the hooks.
        void close() { this->channel->close(); }

        PendingPointer const& current() const { return this->pending; }
        PendingPointer takeCurrent() { return std::exchange(this->pending, nullptr); }
        bool hasServed() const { return this->served; }
        bool hasSent() const { return this->channel->sent() > this->sentBefore; }
        bool hasReceived() const { return this->receivedAny; }

        EventLoop::Timer idleTimer;

    private:
        void onReceived()
        {
            auto const self = this->shared_from_this();
            this->receivedAny = true;
            if (!this->pending) {
                // A response that nobody waits for.
                this->fail();
                return;
            }
            auto status = this->reader.read(this->channel->input());
            while (status == HttpMessageReader::Status::Complete && this->isInformational()) {
                this->reader = HttpMessageReader(HttpMessageReader::Kind::Response, this->sizes);
                status = this->reader.read(this->channel->input());
            }
            if (status == HttpMessageReader::Status::NeedMore)
                return;
            if (status != HttpMessageReader::Status::Complete) {
                this->fail();
                return;
            }
            this->finishExchange();
        }

        bool isInformational() { return static_cast<int>(this->reader.response().getStatus()) < 200; }

        void finishExchange()
        {
            // A response that comes before the whole request was sent leaves the connection in an unknown state.
            bool const reusable
                = this->reader.response().getKeepAlive() && this->channel->input().empty() && !this->channel->unsent();
            this->served = true;
            this->receivedAny = false;
            HttpClientResult result { HttpTransport::Answered, this->reader.response(),
                std::move(this->reader.body()) };
            this->hooks.answered(this->shared_from_this(), std::move(result), reusable);
        }

        void fail()
        {
            auto const self = this->shared_from_this();
            this->channel->close();
            this->hooks.failed(self, this->hasSent() ? HttpTransport::Broken : HttpTransport::ConnectFailed);
        }

        EventLoop& loop;
        HttpSizeLimits sizes;
        Hooks hooks;
        std::shared_ptr<SocketChannel> channel;
        HttpMessageReader reader;
        PendingPointer pending;
        uint64_t sentBefore { 0 };
        bool served { false };
        bool receivedAny { false };
    };

} // namespace

/// Connections and waiting exchanges of one address.
class HttpClientPool::Endpoint : public std::enable_shared_from_this<Endpoint> {
public:
    Endpoint(EventLoop& loop, Limits limits, std::string name)
        : loop(loop)
        , limits(limits)
        , name(std::move(name))
    {
    }

    void send(uint32_t connectionLimit, HttpExchange&& exchange)
    {
        this->connectionLimit = connectionLimit;
        auto const pending = std::make_shared<PendingExchange>(PendingExchange { std::move(exchange), {} });
        auto const timeout = pending->exchange.timeout;
        pending->timer = this->loop.schedule(
            Clock::now() + timeout, [self = this->shared_from_this(), pending] { self->onTimeout(pending); });
        if (this->startOnIdle(pending) || this->startOnNew(pending))
            return;
        bool const drop = pending->exchange.whenBusy == HttpExchange::WhenBusy::Drop;
        if (drop || this->waiting.size() >= this->limits.waiting)
            this->finishLater(pending, HttpTransport::NoConnection);
        else
            this->waiting.push_back(pending);
    }

    void limit(uint32_t connectionLimit)
    {
        this->connectionLimit = connectionLimit;
        // The one used last is the least likely to have been closed by the peer, so it stays longest.
        while (!this->idle.empty() && this->connections.size() > connectionLimit)
            this->remove(Pointer(this->idle.front()));
        if (connectionLimit == 0) {
            for (auto const& pending : std::exchange(this->waiting, {}))
                this->finishLater(pending, pending->sent ? HttpTransport::Broken : HttpTransport::NoConnection);
        }
        this->startWaiting();
    }

    size_t openConnections() const { return this->connections.size(); }

    void closeAll()
    {
        for (auto const& connection : std::exchange(this->connections, {})) {
            this->loop.cancel(connection->idleTimer);
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

    bool startOnIdle(PendingPointer const& pending)
    {
        if (this->idle.empty())
            return false;
        // The last one used is the least likely to have been closed by the peer.
        auto const connection = this->idle.back();
        this->idle.pop_back();
        this->loop.cancel(connection->idleTimer);
        connection->start(pending, this->name);
        return true;
    }

    bool startOnNew(PendingPointer const& pending)
    {
        if (this->connections.size() >= this->connectionLimit)
            return false;
        ClientConnection::Hooks hooks;
        // Connections outlive neither the pool nor the loop; the pool closes them in its destructor.
        hooks.answered = [this](Pointer const& connection, HttpClientResult&& result, bool reusable) {
            this->onAnswered(connection, std::move(result), reusable);
        };
        hooks.failed
            = [this](Pointer const& connection, HttpTransport transport) { this->onFailed(connection, transport); };
        auto const connection = std::make_shared<ClientConnection>(this->loop, this->limits.sizes, std::move(hooks));
        try {
            connection->connect(Poco::Net::SocketAddress(this->name));
        } catch (Poco::Exception const&) {
            this->finishLater(pending, HttpTransport::ConnectFailed);
            return true;
        }
        this->connections.push_back(connection);
        connection->start(pending, this->name);
        return true;
    }

    void onAnswered(Pointer const& connection, HttpClientResult&& result, bool reusable)
    {
        auto const self = this->shared_from_this();
        auto const pending = connection->takeCurrent();
        if (reusable && this->connections.size() <= this->connectionLimit)
            this->keep(connection);
        else
            this->remove(connection);
        this->finish(pending, std::move(result));
        this->startWaiting();
    }

    void onFailed(Pointer const& connection, HttpTransport transport)
    {
        auto const self = this->shared_from_this();
        this->remove(connection);
        auto const pending = connection->takeCurrent();
        if (pending)
            pending->sent = pending->sent || connection->hasSent();
        if (pending && this->mayRepeat(*connection, *pending, transport)) {
            pending->repeated = true;
            if (!this->startOnNew(pending))
                this->waiting.push_front(pending);
        } else if (pending) {
            this->finish(pending, { pending->sent ? HttpTransport::Broken : transport, {}, {} });
        }
        this->startWaiting();
    }

    /// A kept connection may have been closed by the peer before it saw the request.
    static bool mayRepeat(ClientConnection const& connection, PendingExchange const& pending, HttpTransport transport)
    {
        if (pending.repeated || !connection.hasServed() || connection.hasReceived())
            return false;
        return transport == HttpTransport::ConnectFailed || pending.exchange.repeat == HttpExchange::Repeat::Allowed;
    }

    static HttpTransport timeoutOf(PendingExchange const& pending)
    {
        return pending.sent ? HttpTransport::TimedOut : HttpTransport::ConnectFailed;
    }

    void onTimeout(PendingPointer const& pending)
    {
        auto const self = this->shared_from_this();
        auto const found = std::find_if(this->connections.begin(), this->connections.end(),
            [&pending](Pointer const& connection) { return connection->current() == pending; });
        if (found == this->connections.end()) {
            std::erase(this->waiting, pending);
            this->finish(pending, { timeoutOf(*pending), {}, {} });
            return;
        }
        auto const connection = *found;
        connection->takeCurrent();
        pending->sent = pending->sent || connection->hasSent();
        this->remove(connection);
        this->finish(pending, { timeoutOf(*pending), {}, {} });
        this->startWaiting();
    }

    void keep(Pointer const& connection)
    {
        this->idle.push_back(connection);
        connection->idleTimer = this->loop.schedule(Clock::now() + this->limits.idleTimeout,
            [self = this->shared_from_this(), connection] { self->remove(connection); });
    }

    void remove(Pointer const& connection)
    {
        this->loop.cancel(connection->idleTimer);
        connection->close();
        std::erase(this->idle, connection);
        std::erase(this->connections, connection);
    }

    void finish(PendingPointer const& pending, HttpClientResult&& result)
    {
        this->loop.cancel(pending->timer);
        pending->exchange.done(std::move(result));
    }

    void finishLater(PendingPointer const& pending, HttpTransport transport)
    {
        this->loop.cancel(pending->timer);
        this->loop.atTurnEnd([pending, transport] { pending->exchange.done({ transport, {}, {} }); });
    }

    void startWaiting()
    {
        while (!this->waiting.empty()) {
            auto const pending = this->waiting.front();
            if (pending->repeated ? !this->startOnNew(pending)
                                  : !this->startOnIdle(pending) && !this->startOnNew(pending))
                return;
            std::erase(this->waiting, pending);
        }
    }

    EventLoop& loop;
    Limits limits;
    std::string name;
    uint32_t connectionLimit { 1 };
    std::vector<Pointer> connections;
    std::vector<Pointer> idle;
    std::deque<PendingPointer> waiting;
};

HttpClientPool::HttpClientPool(EventLoop& loop, Limits limits)
    : loop(loop)
    , limits(limits)
{
}

HttpClientPool::~HttpClientPool()
{
    for (auto const& [name, endpoint] : this->endpoints)
        endpoint->closeAll();
}

void HttpClientPool::send(std::string const& endpoint, uint32_t connections, HttpExchange&& exchange)
{
    auto& found = this->endpoints[endpoint];
    if (!found)
        found = std::make_shared<Endpoint>(this->loop, this->limits, endpoint);
    found->send(connections, std::move(exchange));
}

void HttpClientPool::limit(std::string const& endpoint, uint32_t connections)
{
    if (auto const found = this->endpoints.find(endpoint); found != this->endpoints.end())
        found->second->limit(connections);
}

size_t HttpClientPool::openConnections(std::string const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second->openConnections();
}

} // namespace Toucan
