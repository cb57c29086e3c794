#pragma once

#include "Net/SocketChannel.h"

#include <functional>
#include <json/value.h>
#include <memory>

namespace Toucan {

struct FrameLimits {
    /// Longest JSON text of one frame, without its length field.
    size_t frameBytes { 4194304 };
    /// Unsent output that is buffered for a peer that reads slowly; beyond it the connection is closed.
    size_t outputBytes { 16777216 };
};

/// One TCP connection that carries frames in both directions: a 4-byte big-endian length and a JSON object.
class FrameSession : public std::enable_shared_from_this<FrameSession> {
public:
    using Pointer = std::shared_ptr<FrameSession>;
    enum class End {
        ConnectFailed,
        PeerClosed,
        Broken,
        /// A frame was too large or not a JSON object.
        ProtocolViolation,
        /// The peer read too slowly, and the unsent output reached its limit.
        OutputOverflow,
    };
    struct Hooks {
        std::function<void()> connected;
        std::function<void(Json::Value&&)> frame;
        /// Called once unless close() was called; the session is then closed.
        std::function<void(End)> ended;
    };

    static Pointer adopt(EventLoop& loop, Poco::Net::StreamSocket const& socket, FrameLimits limits, Hooks hooks);
    /// Starts to connect; frames are buffered until the connection is established.
    static Pointer connect(EventLoop& loop, Poco::Net::SocketAddress const& address, FrameLimits limits, Hooks hooks);

    /// Frames of one loop turn are sent together. Returns false when the frame is too large or the session is closed.
    /// When the output overflows, the session ends at the end of the turn.
    bool send(Json::Value const& frame);
    /// Closes without calling the hooks.
    void close();
    bool isClosed() const { return this->channel->isClosed(); }
    bool isConnected() const { return this->channel->isConnected(); }
    size_t unsent() const { return this->channel->unsent(); }
    /// Bytes of all frames that send() accepted, including their length fields.
    uint64_t bytesSent() const { return this->bytes; }

private:
    FrameSession(EventLoop& loop, FrameLimits limits, Hooks hooks);

    SocketChannel::Hooks channelHooks();
    void onReceived();
    bool readFrame();
    void end(End reason);

    EventLoop& loop;
    FrameLimits limits;
    std::shared_ptr<Hooks> hooks;
    std::shared_ptr<SocketChannel> channel;
    size_t inputOffset { 0 };
    uint64_t bytes { 0 };
    bool overflowed { false };
};

} // namespace Toucan
