#include "Net/FrameSession.h"

#include "Base/Error.h"
#include "Base/Json.h"
#include <array>
#include <cstdint>
#include <utility>

namespace Toucan {

constexpr size_t lengthBytes = 4;

static uint32_t readLength(std::string_view bytes)
{
    uint32_t length = 0;
    for (size_t index = 0; index < lengthBytes; ++index)
        length = length << 8 | static_cast<unsigned char>(bytes[index]);
    return length;
}

static std::array<char, lengthBytes> writeLength(size_t length)
{
    return { static_cast<char>(length >> 24), static_cast<char>(length >> 16), static_cast<char>(length >> 8),
        static_cast<char>(length) };
}

FrameSession::Pointer FrameSession::adopt(
    EventLoop& loop, Poco::Net::StreamSocket const& socket, FrameLimits limits, Hooks hooks)
{
    Pointer session(new FrameSession(loop, limits, std::move(hooks)));
    session->channel = SocketChannel::adopt(loop, socket, session->channelHooks());
    return session;
}

FrameSession::Pointer FrameSession::connect(
    EventLoop& loop, Poco::Net::SocketAddress const& address, FrameLimits limits, Hooks hooks)
{
    Pointer session(new FrameSession(loop, limits, std::move(hooks)));
    session->channel = SocketChannel::connect(loop, address, session->channelHooks());
    return session;
}

FrameSession::FrameSession(EventLoop& loop, FrameLimits limits, Hooks hooks)
    : loop(loop)
    , limits(limits)
    , hooks(std::make_shared<Hooks>(std::move(hooks)))
{
}

SocketChannel::Hooks FrameSession::channelHooks()
{
    auto const self = this->shared_from_this();
    SocketChannel::Hooks result;
    result.connected = [self] {
        auto const current = self->hooks;
        if (current->connected)
            current->connected();
    };
    result.received = [self] { self->onReceived(); };
    result.ended = [self](SocketChannel::End reason) {
        switch (reason) {
        case SocketChannel::End::ConnectFailed:
            return self->end(End::ConnectFailed);
        case SocketChannel::End::PeerClosed:
            return self->end(End::PeerClosed);
        case SocketChannel::End::Broken:
            return self->end(End::Broken);
        }
    };
    return result;
}

bool FrameSession::send(Json::Value const& frame)
{
    if (this->channel->isClosed() || this->overflowed)
        return false;
    auto const text = writeJson(frame);
    if (text.size() > this->limits.frameBytes)
        return false;
    if (this->channel->unsent() + lengthBytes + text.size() > this->limits.outputBytes) {
        this->overflowed = true;
        this->loop.atTurnEnd([self = this->shared_from_this()] { self->end(End::OutputOverflow); });
        return false;
    }
    auto const length = writeLength(text.size());
    this->channel->write({ length.data(), length.size() });
    this->channel->write(text);
    this->bytes += lengthBytes + text.size();
    return true;
}

void FrameSession::onReceived()
{
    auto const self = this->shared_from_this();
    this->inputOffset = 0;
    while (!this->channel->isClosed() && this->readFrame()) { }
    if (!this->channel->isClosed())
        this->channel->input().erase(0, this->inputOffset);
}

bool FrameSession::readFrame()
{
    auto const input = std::string_view(this->channel->input()).substr(this->inputOffset);
    if (input.size() < lengthBytes)
        return false;
    auto const length = readLength(input);
    if (length > this->limits.frameBytes) {
        this->end(End::ProtocolViolation);
        return false;
    }
    if (input.size() < lengthBytes + length)
        return false;
    Json::Value frame;
    try {
        frame = parseJson(input.substr(lengthBytes, length));
    } catch (Error const&) {
        // The frame stays null and is refused below, because it is not an object.
    }
    if (!frame.isObject()) {
        this->end(End::ProtocolViolation);
        return false;
    }
    this->inputOffset += lengthBytes + length;
    auto const current = this->hooks;
    if (current->frame)
        current->frame(std::move(frame));
    return true;
}

void FrameSession::end(End reason)
{
    auto const self = this->shared_from_this();
    auto const current = this->hooks;
    this->close();
    if (current->ended)
        current->ended(reason);
}

void FrameSession::close()
{
    this->hooks = std::make_shared<Hooks>();
    this->channel->close();
}

} // namespace Toucan
