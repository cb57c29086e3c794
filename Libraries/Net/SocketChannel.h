#pragma once

#include "Base/ByteBudget.h"
#include "Net/EventLoop.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

    /// Bytes that are received in one turn of the loop, unless another number is given. It bounds the time that one
    /// fast sender keeps the loop from its other sockets.
    static constexpr size_t usualReceiveBytes = 65536;

    static std::shared_ptr<SocketChannel> adopt(EventLoop& loop, Poco::Net::StreamSocket const& socket, Hooks hooks);
    /// Starts to connect; output is kept until the connection is there.
    static std::shared_ptr<SocketChannel> connect(
        EventLoop& loop, Poco::Net::SocketAddress const& address, Hooks hooks);

    /// Received bytes; the owner removes what it has used.
    std::string& input() { return this->inputBuffer; }
    /// At most usualReceiveBytes.
    void setReceiveBytes(size_t bytes) { this->receiveBytes = bytes; }
    /// Appends to the output, which is sent at the end of the loop's turn.
    void write(std::string_view bytes);
    /// Sends a large text without a copy of its own; short ones are copied, to leave in one packet with what is before.
    void write(std::shared_ptr<std::string const> const& text);
    /// Keeps `memory` until all output that is there now was given to the kernel.
    void keepUntilDrained(std::shared_ptr<void const> memory);
    size_t unsent() const { return this->unsentBytes; }
    /// Bytes that the kernel has taken since the start.
    uint64_t sent() const { return this->sentBytes; }
    bool isConnected() const { return this->connectedState; }
    bool isClosed() const { return this->closedState; }
    /// Smoothed round-trip time to the peer as the kernel measured it; empty when the kernel does not tell.
    std::optional<Milliseconds> roundTripTime() const;
    void setReading(bool enabled);
    /// Notes in `memory` that the owner holds `bytes` of what it received, and stops reading until there is room for
    /// more.
    void holdInput(ByteBudget::Holder& memory, size_t bytes);
    /// Sends what is left, then waits for the peer to close for a bounded time. Without it, unread input would make the
    /// kernel reset the connection and the peer could lose the last answer.
    void closeAfterOutput();
    void close();

private:
    SocketChannel(EventLoop& loop, Poco::Net::StreamSocket const& socket, Hooks hooks);

    void start();
    void onReady(int ready);
    void onConnectReady();
    void dispatch(int ready);
    void receive();
    void releaseInputMemory();
    void flush();
    void discardOutput();
    void scheduleFlush();
    void onDrained();
    void end(End reason);
    void updateMode();

    EventLoop& loop;
    Poco::Net::StreamSocket socket;
    std::shared_ptr<Hooks> hooks;
    std::string inputBuffer;
    size_t receiveBytes { usualReceiveBytes };
    std::deque<std::shared_ptr<std::string const>> output;
    /// The last entry of `output` when more may be appended to it.
    std::shared_ptr<std::string> openOutput;
    /// Bytes of the first entry that were sent.
    size_t outputOffset { 0 };
    size_t unsentBytes { 0 };
    std::vector<std::shared_ptr<void const>> outputMemory;
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
