#pragma once

#include "Base/ByteBudget.h"
#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessageReader.h"
#include "Net/NewConnectionGrace.h"
#include "Net/SocketChannel.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Toucan {

/// How one exchange ended at the transport level.
enum class HttpTransportStatus {
    /// A complete response was read.
    Answered,
    /// No byte of the request was sent: the connection failed, or the timeout expired before one could be used.
    ConnectFailed,
    /// The server accepted the connection and reset it before any byte of the request was sent, as a server at its
    /// connection limit does.
    Rejected,
    /// The connection broke or the response was invalid after bytes of the request were sent.
    Broken,
    /// The timeout expired after bytes of the request were sent.
    TimedOut,
    /// Nothing was sent: no connection was free and the exchange could not wait, or the connection limit became 0.
    NoConnection,
    /// Nothing was sent, because HttpExchange::maySend declined.
    Withdrawn,
};

struct HttpClientResult {
    HttpTransportStatus transport { HttpTransportStatus::Broken };
    /// Valid only when `transport` is Answered.
    Poco::Net::HTTPResponse head;
    std::string body;
    /// The peer's protocol violation or the limit that it exceeded; empty when the received bytes were valid.
    std::string fault;
    /// Accounts for the body in the pool's budget; null without a budget.
    std::shared_ptr<ByteBudget::Holder> memory;
};

/// Why an exchange yielded no usable response, for logs: the HTTP status or the failure of the connection.
std::string describeFailure(HttpClientResult const& result);

struct HttpExchange {
    /// The pool sets Content-Length, removes Connection, and adds Host when it is missing.
    Poco::Net::HTTPRequest head;
    /// May be null.
    std::shared_ptr<std::string const> body;
    enum class Repeat {
        /// May be sent again when a reused connection turns out to be closed.
        Allowed,
        Forbidden,
    } repeat { Repeat::Forbidden };
    enum class Connection {
        Any,
        /// A new connection, because the server may close a reused one while the request is in transit.
        Fresh,
    } connection { Connection::Any };
    enum class WhenBusy {
        Wait,
        /// Ends with NoConnection when no connection is free.
        Drop,
    } whenBusy { WhenBusy::Wait };
    /// Time limit for the exchange, including the wait for a connection.
    Milliseconds timeout;
    /// Largest response body in bytes; the pool's limit applies when 0.
    size_t bodyLimit { 0 };
    /// Called when a connection, which may still have to be established, is assigned to the exchange. May be empty.
    std::function<void()> assigned;
    /// Whether the request may still be sent. Called just before it is written to an established connection, and by
    /// withdrawUnsent(). When not set, it always may.
    std::function<bool()> maySend;
    /// Called just before the request is written to a connection; may change its header fields.
    std::function<void(Poco::Net::HTTPRequest&)> beforeSending;
    /// Called with the head of each response that arrives for this exchange, before its body is read, also when
    /// isOwnResponse refuses it. May be empty.
    std::function<void(Poco::Net::HTTPResponse const&)> onResponseHead;
    /// Whether a response answers this exchange; other responses are discarded and the next one is awaited.
    /// `firstOnConnection` is true until the connection has completed an exchange. When not set, every response is
    /// accepted.
    std::function<bool(Poco::Net::HTTPResponse const&, bool firstOnConnection)> isOwnResponse;
    /// Called once unless the exchange is cancelled or the pool destroyed; never from within send().
    std::function<void(HttpClientResult&&)> done;
};

/// Identifies a running exchange; expires when the exchange ends.
using HttpExchangeHandle = std::weak_ptr<void>;

/// Persistent HTTP/1.1 client connections with a connection limit for each endpoint. Each connection serves one
/// exchange at a time and is closed after a timeout, so that a late response is never taken for the response to another
/// exchange. When a peer sends more than an exchange can use, the connection is closed at once. Responses are not read
/// while the budget is exhausted.
class HttpClientPool {
public:
    struct Limits {
        HttpSizeLimits sizes { 16384, 4194304 };
        /// Idle connections are closed earlier when the server's Keep-Alive header states a shorter timeout.
        Milliseconds idleTimeout { 30000 };
        /// Time limit to establish a connection; the timeout of the exchange applies as well.
        Milliseconds connectTimeout { 30000 };
        HttpMessageReader::UnframedBody unframedBody { HttpMessageReader::UnframedBody::Refused };
        /// Called when connecting to a server starts, before it is known whether the connection can be established.
        std::function<void()> connectionStarted {};
        /// Called when an established connection ended that the pool did not close, also an idle one, before the
        /// exchange on it ends. May be empty.
        std::function<void(std::string const& endpoint)> connectionLost {};
        /// Longest delay of the first request on a new connection; see NewConnectionGrace.
        Milliseconds maximumNewConnectionGrace {};
        /// Largest number of exchanges that wait for a connection to one endpoint.
        size_t maximumWaiting { 1024 };
        /// Byte budget shared by all responses; null for no shared limit.
        std::shared_ptr<ByteBudget> budget {};
        /// Bytes that a connection receives per loop turn; see SocketChannel.
        size_t receiveBytes { SocketChannel::defaultReceiveBytes };
    };

    HttpClientPool(EventLoop& loop, Limits limits);
    ~HttpClientPool();
    HttpClientPool(HttpClientPool const&) = delete;
    HttpClientPool& operator=(HttpClientPool const&) = delete;

    /// `endpoint` as in "127.0.0.1:9001"; at most `connections` are open to it at once.
    HttpExchangeHandle send(std::string const& endpoint, uint32_t connections, HttpExchange&& exchange);
    /// Ends the exchange without calling `done` and closes its connection, so that the server can stop processing it.
    void cancel(std::string const& endpoint, HttpExchangeHandle const& handle);
    /// Ends with Withdrawn the exchanges of which nothing was sent and whose maySend declines. An exchange of which
    /// bytes were sent on an earlier connection ends with Broken.
    void withdrawUnsent(std::string const& endpoint);
    /// Closes all idle connections, for example after one of them stopped responding.
    void closeIdle(std::string const& endpoint);
    /// Exchanges that are running or waiting for a connection.
    size_t runningExchanges(std::string const& endpoint) const;
    /// Changes the connection limit. Idle connections above it are closed at once, busy ones after their exchange. With
    /// 0, waiting exchanges end with NoConnection, or with Broken when bytes of them were sent before.
    void setConnectionLimit(std::string const& endpoint, uint32_t connections);
    size_t openConnections(std::string const& endpoint) const;
    /// Whether an exchange would start on an idle connection.
    bool hasIdleConnection(std::string const& endpoint) const;
    /// Delays requests on new connections until this time although no early reset was seen; see NewConnectionGrace.
    void expectResets(Milliseconds until) { this->newConnectionGrace.expectResets(until); }

private:
    class Endpoint;

    EventLoop& loop;
    Limits limits;
    NewConnectionGrace newConnectionGrace;
    std::map<std::string, std::shared_ptr<Endpoint>> endpoints;
};

} // namespace Toucan
