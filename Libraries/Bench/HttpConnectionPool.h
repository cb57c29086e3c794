#pragma once

#include "Bench/HttpMessages.h"
#include "Bench/StreamSession.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Toucan::Bench {

/// Why a request has no valid answer; None when it has one.
enum class CallFailure {
    None,
    /// The connection was not established; nothing was sent.
    ConnectFailed,
    /// The connection was established and closed before the answer was complete; the request may have been executed.
    Broken,
    /// No complete answer arrived within the timeout; the request may have been sent and executed.
    TimedOut,
    /// The answer is not a valid HTTP message, or its body is not JSON.
    BadAnswer,
};

std::string_view toString(CallFailure failure);

/// HTTP/1.1 client of one address with a pool of keep-alive connections, each with one exchange at a time. Never
/// retries a request.
class HttpConnectionPool {
public:
    using Callback = std::function<void(std::optional<HttpResponse>&&, CallFailure)>;

    /// Throws Poco::Exception when `address` is not an IP address with a port.
    HttpConnectionPool(BenchLoop& loop, std::string const& address, uint32_t connectionLimit);
    ~HttpConnectionPool();
    HttpConnectionPool(HttpConnectionPool const&) = delete;
    HttpConnectionPool& operator=(HttpConnectionPool const&) = delete;

    /// Sends the request at once, or when a connection is free; `timeout` includes the wait for a connection. Calls
    /// `callback` once, possibly before call() returns.
    void call(std::string request, Milliseconds timeout, Callback callback);
    void closeIdle();
    size_t connectionCount() const { return this->idle.size() + this->busy.size(); }
    std::string const& address() const { return this->addressText; }

private:
    struct Exchange {
        std::string request;
        Callback callback;
        BenchLoop::TimerId timer { 0 };
        /// Null while the exchange waits for a connection.
        std::shared_ptr<StreamSession> stream;
    };
    using ExchangePointer = std::shared_ptr<Exchange>;

    void assign(ExchangePointer const& exchange);
    void send(ExchangePointer const& exchange, std::shared_ptr<StreamSession> const& stream);
    void onReceived(ExchangePointer const& exchange);
    void onClosed(ExchangePointer const& exchange);
    void onTimeout(ExchangePointer const& exchange);
    void finish(ExchangePointer const& exchange, std::optional<HttpResponse>&& response, CallFailure failure);
    void returnToIdle(std::shared_ptr<StreamSession> const& stream);

    BenchLoop& loop;
    std::string addressText;
    Poco::Net::SocketAddress socketAddress;
    uint32_t connectionLimit;
    std::set<std::shared_ptr<StreamSession>> idle;
    std::set<ExchangePointer> busy;
    std::deque<ExchangePointer> waiting;
};

} // namespace Toucan::Bench
