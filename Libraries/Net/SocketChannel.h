#pragma once

#include "Net/EventLoop.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

/// Non-blocking TCP byte stream with an input and an output buffer. Keeps itself alive by the loop's handler, and its
/// owner by the hooks, until close().
class SocketChannel : public std::enable_shared_from_this<SocketChannel> {
public:
    enum class End {
        /// No connection was made; nothing was sent.
        ConnectFailed,
        /// The peer sends no more; the connection may still take output.
        PeerClosed,
        /// The connection was reset or is otherwise unusable.
        Broken,
    };
    struct Hooks {
        std::function<void()> connected;
        /// input() grew.
        std::function<void()> received;
        /// All output was given to the kernel.
        std::function<void()> drained;
        /// Called at most once for each kind. After ConnectFailed and Broken the channel is closed.
        std::function<void(End)> ended;
    };

    static std::shared_ptr<SocketChannel> adopt(EventLoop& loop, Poco::Net::StreamSocket const& socket, Hooks hooks);
    /// Starts to connect; output is kept until the connection is there.
    static std::shared_ptr<SocketChannel> connect(
        EventLoop& loop, Poco::Net::SocketAddress const& address, Hooks hooks);

    /// Received bytes; the owner removes what it has used.
    std::string& input() { return this->inputBuffer; }
    /// Appends to the output, which is sent at the end of the loop's turn.
    void write(std::string_view bytes);
    size_t unsent() const { return this->outputBuffer.size() - this->outputOffset; }
    /// Bytes that the kernel has taken since the start.
    uint64_t sent() const { return this->sentBytes; }
    bool isConnected() const { return this->connectedState; }
    bool isClosed() const { return this->closedState; }
    /// Smoothed round-trip time to the peer as the kernel measured it; empty when the kernel does not tell.
    std::optional<Milliseconds> roundTripTime() const;
    void setReading(bool enabled);
    /// Sends what is left, then waits for the peer to close for a bounded time. Without it, unread input would make the
    /// kernel reset the connection and the peer could lose the last answer.
    void closeAfterOutput();
    void close();

private:
    SocketChannel(EventLoop& loop, Poco::Net::StreamSocket const& socket, Hooks hooks);

    void start();
    void onReady(int ready);
    void onConnectReady();
    void receive();
    void flush();
    void scheduleFlush();
    void onDrained();
    void end(End reason);
    void updateMode();

    EventLoop& loop;
    Poco::Net::StreamSocket socket;
    std::shared_ptr<Hooks> hooks;
    std::string inputBuffer;
    std::string outputBuffer;
    size_t outputOffset { 0 };
    uint64_t sentBytes { 0 };
    EventLoop::Timer lingerTimer;
    bool connectedState { false };
    bool closedState { false };
    bool readingEnabled { true };
    bool inputEnded { false };
    bool flushScheduled { false };
    bool closing { false };
    bool sendingShutDown { false };
};

} // namespace Toucan
