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

/// How one exchange ended.
enum class HttpTransportStatus {
    /// A whole response was read.
    Answered,
    /// No byte of the request left this process: refused, reset or not connected in time.
    ConnectFailed,
    /// The server accepted the connection and reset it before a byte of the request was sent: it has no room for more.
    Rejected,
    /// The connection broke, or the response was not valid, after bytes of the request were sent.
    Broken,
    /// The time ran out after bytes of the request were sent.
    TimedOut,
    /// All connections were busy; nothing was sent.
    NoConnection,
};

struct HttpClientResult {
    HttpTransportStatus transport { HttpTransportStatus::Broken };
    /// Valid with Answered.
    Poco::Net::HTTPResponse head;
    std::string body;
    /// What the peer did wrong, or the bound that it exceeded; empty when its bytes were not at fault.
    std::string fault;
    /// Holds the room of the body in the pool's budget; null without a budget.
    std::shared_ptr<ByteBudget::Holder> memory;
};

/// Why an exchange brought no usable response, for logs: the status, or what happened to the connection.
std::string describeFailure(HttpClientResult const& result);

struct HttpExchange {
    /// The pool sets Content-Length and Connection, and Host when there is none.
    Poco::Net::HTTPRequest head;
    /// May be null.
    std::shared_ptr<std::string const> body;
    enum class Repeat {
        /// May be sent again when a kept connection turns out to be closed.
        Allowed,
        Forbidden,
    } repeat { Repeat::Forbidden };
    enum class Connection {
        Any,
        /// A new connection: the server may close a kept one while the request is on its way.
        Fresh,
    } connection { Connection::Any };
    enum class WhenBusy {
        Wait,
        /// Ends with NoConnection when no connection is free.
        Drop,
    } whenBusy { WhenBusy::Wait };
    /// Time for the whole exchange, with the wait for a connection.
    Milliseconds timeout;
    /// Largest body of the response; the pool's limit when 0.
    size_t bodyLimit { 0 };
    /// Called just before the request is given to a connection; may change its fields.
    std::function<void(Poco::Net::HTTPRequest&)> beforeSending;
    /// Whether a response answers this exchange, which may be the first of its connection; others are dropped and the
    /// next one is awaited. Every response does when not set.
    std::function<bool(Poco::Net::HTTPResponse const&, bool firstOnConnection)> isOwnResponse;
    /// Called once, never from within send().
    std::function<void(HttpClientResult&&)> done;
};

/// Names a running exchange; empty after its end.
using HttpExchangeHandle = std::weak_ptr<void>;

/// HTTP/1.1 client connections, kept and reused, with a bound for each endpoint. Each connection carries one exchange
/// at a time and is closed after a timeout, so that a late response never meets another exchange. A peer that sends
/// more than an exchange can use is a fault: the connection is closed at once. When the budget has no room, reading
/// waits.
class HttpClientPool {
public:
    struct Limits {
        HttpSizeLimits sizes { 16384, 4194304 };
        /// Kept connections are closed earlier when the server's Keep-Alive header says so.
        Milliseconds idleTimeout { 30000 };
        /// Time to establish a connection; the exchange's timeout bounds it too.
        Milliseconds connectTimeout { 30000 };
        HttpMessageReader::UnframedBody unframedBody { HttpMessageReader::UnframedBody::Refused };
        /// Called for each connection that is opened.
        std::function<void()> connecting {};
        /// Longest wait of a new connection for a reset by a full server; see NewConnectionGrace.
        Milliseconds longestNewConnectionGrace {};
        /// Exchanges that may wait for a connection to one endpoint.
        size_t waiting { 1024 };
        /// Room for responses; null for no common bound.
        std::shared_ptr<ByteBudget> budget {};
        /// Bytes that a connection receives in one turn of the loop; see SocketChannel.
        size_t receiveBytes { SocketChannel::usualReceiveBytes };
    };

    HttpClientPool(EventLoop& loop, Limits limits);
    ~HttpClientPool();
    HttpClientPool(HttpClientPool const&) = delete;
    HttpClientPool& operator=(HttpClientPool const&) = delete;

    /// `endpoint` as in "127.0.0.1:9001"; at most `connections` are open to it at once.
    HttpExchangeHandle send(std::string const& endpoint, uint32_t connections, HttpExchange&& exchange);
    /// Ends the exchange without a call of `done` and closes its connection, so that the server stops its work.
    void cancel(std::string const& endpoint, HttpExchangeHandle const& handle);
    /// Closes all kept connections that are idle, for example after one of them went silent.
    void closeIdle(std::string const& endpoint);
    /// Exchanges that run or wait.
    size_t runningExchanges(std::string const& endpoint) const;
    /// Changes the bound at once: idle connections above it are closed, busy ones after their exchange. With 0,
    /// exchanges that wait end with NoConnection.
    void limit(std::string const& endpoint, uint32_t connections);
    size_t openConnections(std::string const& endpoint) const;
    /// Whether an exchange would start on a kept connection.
    bool hasIdleConnection(std::string const& endpoint) const;
    /// New connections wait for resets of full servers until this time, although none was seen.
    void expectResets(Milliseconds until) { this->settling.expectResets(until); }

private:
    class Endpoint;

    EventLoop& loop;
    Limits limits;
    NewConnectionGrace settling;
    std::map<std::string, std::shared_ptr<Endpoint>> endpoints;
};

} // namespace Toucan
