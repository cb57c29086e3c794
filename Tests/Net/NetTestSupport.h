#pragma once

#include "Net/EventLoop.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <cerrno>
#include <functional>
#include <string>
#include <string_view>

namespace Toucan {

/// Runs loop turns until the condition holds or the timeout has passed; returns the elapsed time.
inline Milliseconds runUntil(EventLoop& loop, Milliseconds timeout, std::function<bool()> const& condition)
{
    auto const start = Clock::now();
    while (!condition() && Clock::now() - start < timeout)
        loop.runOnce(2_ms);
    return Clock::now() - start;
}

/// Raw TCP peer on loopback that runs in the thread of the loop under test.
class RawPeer {
public:
    explicit RawPeer(Poco::Net::SocketAddress const& address)
        : RawPeer(Poco::Net::StreamSocket(address))
    {
    }
    explicit RawPeer(Poco::Net::StreamSocket const& socket)
        : socket(socket)
    {
        this->socket.setBlocking(false);
    }

    void send(std::string_view bytes)
    {
        try {
            this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        } catch (Poco::Exception const& exception) {
            this->closed = this->closed || exception.code() != EAGAIN;
        }
    }

    /// Reads all available bytes. `closed` is set at the end of the stream or on a reset.
    void receive()
    {
        std::array<char, 65536> buffer;
        try {
            int size = 0;
            while ((size = this->socket.receiveBytes(buffer.data(), buffer.size())) > 0)
                this->received.append(buffer.data(), static_cast<size_t>(size));
            this->closed = this->closed || size == 0;
        } catch (Poco::Exception const& exception) {
            this->closed = this->closed || exception.code() != EAGAIN;
        }
    }

    Milliseconds receiveUntil(EventLoop& loop, Milliseconds timeout, std::function<bool()> const& condition)
    {
        return runUntil(loop, timeout, [&] {
            this->receive();
            return condition();
        });
    }
    Milliseconds receiveUntilClosed(EventLoop& loop, Milliseconds timeout)
    {
        return this->receiveUntil(loop, timeout, [this] { return this->closed; });
    }
    Milliseconds receiveUntilText(EventLoop& loop, Milliseconds timeout, std::string_view text)
    {
        return this->receiveUntil(loop, timeout, [&] { return this->received.find(text) != std::string::npos; });
    }

    Poco::Net::StreamSocket socket;
    std::string received;
    bool closed { false };
};

/// Listening socket whose connections the test accepts itself.
class RawListener {
public:
    RawListener()
        : socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
    }
    std::string address() const { return this->socket.address().toString(); }
    bool hasConnection() { return this->socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ); }
    RawPeer accept() { return RawPeer(this->socket.acceptConnection()); }

    Poco::Net::ServerSocket socket;
};

} // namespace Toucan
