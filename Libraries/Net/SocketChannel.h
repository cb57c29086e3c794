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

/// Non-blocking TCP byte stream with an input and an output buffer. The loop's handler keeps the channel alive, and the
/// hooks keep its owner alive, until close().
class SocketChannel : public std::enable_shared_from_this<SocketChannel> {
public:
    enum class End {
        /// The connection could not be established; nothing was sent.
        ConnectFailed,
        /// The peer closed its sending side; output may still be sent.
        PeerClosed,
        /// The connection was reset or is otherwise unusable.
        Broken,
    };
    struct Hooks {
        std::function<void()> connected;
        /// Bytes were appended to input().
        std::function<void()> received;
        /// All output was given to the kernel.
        std::function<void()> drained;
        /// Called at most once for each value. After ConnectFailed and Broken the channel is closed.
        std::function<void(End)> ended;
    };

    /// Default for the bytes that are received per loop turn. The limit keeps one fast sender from delaying the other
    /// sockets of the loop.
    static constexpr size_t defaultReceiveBytes = 65536;

    static std::shared_ptr<SocketChannel> adopt(EventLoop& loop, Poco::Net::StreamSocket const& socket, Hooks hooks);
    /// Starts to connect; output is buffered until the connection is established.
    static std::shared_ptr<SocketChannel> connect(
        EventLoop& loop, Poco::Net::SocketAddress const& address, Hooks hooks);

    /// Received bytes; the owner removes those that it has consumed.
    std::string& input() { return this->inputBuffer; }
    /// Limits the bytes received per loop turn; values above defaultReceiveBytes have no effect.
    void setReceiveBytes(size_t bytes) { this->receiveBytes = bytes; }
    /// Appends to the output, which is sent at the end of the loop turn.
    void write(std::string_view bytes);
    /// Sends a large text without copying it; a short one is copied, so that it leaves in one packet with the output
    /// before it.
    void write(std::shared_ptr<std::string const> const& text);
    /// Keeps `memory` until all output was given to the kernel.
    void keepUntilDrained(std::shared_ptr<void const> memory);
    size_t unsent() const { return this->unsentBytes; }
    /// Total bytes that the kernel has accepted.
    uint64_t sent() const { return this->sentBytes; }
    bool isConnected() const { return this->connectedState; }
    bool isClosed() const { return this->closedState; }
    /// Smoothed round-trip time to the peer as measured by the kernel; empty when it is not available.
    std::optional<Milliseconds> roundTripTime() const;
    void setReading(bool enabled);
    /// Records in `memory` that the owner buffers `bytes` of input, and stops reading until the budget permits more.
    void accountInput(ByteBudget::Holder& memory, size_t bytes);
    /// Sends the remaining output, then waits for a limited time for the peer to close. Otherwise unread input would
    /// make the kernel reset the connection, and the peer could lose the last response.
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
    size_t receiveBytes { defaultReceiveBytes };
    std::deque<std::shared_ptr<std::string const>> output;
    /// The last entry of `output` when more may be appended to it.
    std::shared_ptr<std::string> appendableOutput;
    /// Bytes of the first entry that were sent.
    size_t outputOffset { 0 };
    size_t unsentBytes { 0 };
    std::vector<std::shared_ptr<void const>> outputMemory;
    uint64_t sentBytes { 0 };
    /// Closes the channel when closeAfterOutput() takes too long.
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
