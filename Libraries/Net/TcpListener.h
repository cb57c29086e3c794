#pragma once

#include "Net/EventLoop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Toucan {

/// Accepts TCP connections on the loop.
class TcpListener {
public:
    using Accepted = std::function<void(Poco::Net::StreamSocket const&)>;

    /// `address` as in "127.0.0.1:8101"; port 0 chooses a free one. Throws Error of kind InvalidSettings when the
    /// address cannot be bound.
    TcpListener(EventLoop& loop, std::string const& address, Accepted accepted);
    ~TcpListener();
    TcpListener(TcpListener const&) = delete;
    TcpListener& operator=(TcpListener const&) = delete;

    Poco::Net::SocketAddress address() const { return this->socket.address(); }
    /// Accepts the connections in the backlog, then closes the listener.
    void close();

private:
    /// Accepts a bounded number of connections and returns how many there were.
    size_t acceptReady();

    EventLoop& loop;
    Poco::Net::ServerSocket socket;
    Accepted accepted;
    EventLoop::Timer resumeTimer;
    bool open { true };
};

} // namespace Toucan
