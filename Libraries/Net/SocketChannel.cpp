#include "Net/SocketChannel.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace Toucan {

using Poco::Net::PollSet;

constexpr size_t receiveBytesPerCall = 65536;
/// Bounds the time that one fast sender keeps the loop from its other sockets.
constexpr size_t receiveBytesPerTurn = 262144;
/// Time that a closing connection waits for its peer to close too.
constexpr Milliseconds lingerTime { 1000 };
/// Time to send the last answer to a peer that reads slowly.
constexpr Milliseconds finalOutputTime { 10000 };

std::shared_ptr<SocketChannel> SocketChannel::adopt(EventLoop& loop, Poco::Net::StreamSocket const& socket, Hooks hooks)
{
    std::shared_ptr<SocketChannel> channel(new SocketChannel(loop, socket, std::move(hooks)));
    channel->connectedState = true;
    channel->socket.setBlocking(false);
    channel->socket.setNoDelay(true);
    channel->start();
    return channel;
}

std::shared_ptr<SocketChannel> SocketChannel::connect(
    EventLoop& loop, Poco::Net::SocketAddress const& address, Hooks hooks)
{
    Poco::Net::StreamSocket const socket(address.family());
    std::shared_ptr<SocketChannel> channel(new SocketChannel(loop, socket, std::move(hooks)));
    try {
        channel->socket.connectNB(address);
        channel->start();
    } catch (Poco::Exception const&) {
        // Reported at the end of the turn, because the owner has no pointer to the channel yet.
        loop.atTurnEnd([channel] { channel->end(End::ConnectFailed); });
    }
    return channel;
}

SocketChannel::SocketChannel(EventLoop& loop, Poco::Net::StreamSocket const& socket, Hooks hooks)
    : loop(loop)
    , socket(socket)
    , hooks(std::make_shared<Hooks>(std::move(hooks)))
{
}

void SocketChannel::start()
{
    this->loop.watch(this->socket, 0, [self = this->shared_from_this()](int ready) { self->onReady(ready); });
    this->updateMode();
}

void SocketChannel::write(std::string_view bytes)
{
    if (this->closedState || this->closing)
        return;
    this->outputBuffer.append(bytes);
    this->scheduleFlush();
}

void SocketChannel::scheduleFlush()
{
    if (this->flushScheduled || !this->connectedState)
        return;
    this->flushScheduled = true;
    this->loop.atTurnEnd([self = this->shared_from_this()] {
        self->flushScheduled = false;
        self->flush();
    });
}

std::optional<Milliseconds> SocketChannel::roundTripTime() const
{
    constexpr double microsecondsPerMillisecond = 1000;
    tcp_info info {};
    socklen_t size = sizeof info;
    if (this->closedState || ::getsockopt(this->socket.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0
        || info.tcpi_rtt == 0)
        return std::nullopt;
    return Milliseconds { info.tcpi_rtt / microsecondsPerMillisecond };
}

void SocketChannel::setReading(bool enabled)
{
    this->readingEnabled = enabled;
    this->updateMode();
}

void SocketChannel::closeAfterOutput()
{
    if (this->closedState || this->closing)
        return;
    this->closing = true;
    this->inputBuffer.clear();
    // Releases the owner, which holds this channel: the cycle would outlive a loop that ends before the channel.
    this->hooks = std::make_shared<Hooks>();
    this->lingerTimer
        = this->loop.schedule(Clock::now() + finalOutputTime, [self = this->shared_from_this()] { self->close(); });
    this->readingEnabled = true;
    this->updateMode();
    this->scheduleFlush();
}

void SocketChannel::close()
{
    if (this->closedState)
        return;
    this->closedState = true;
    auto const self = this->shared_from_this();
    this->loop.cancel(this->lingerTimer);
    this->loop.unwatch(this->socket);
    this->socket.close();
    // Releases the owner; running hooks hold their own reference.
    this->hooks = std::make_shared<Hooks>();
}

void SocketChannel::onReady(int ready)
{
    if (this->closedState)
        return;
    if (!this->connectedState) {
        this->onConnectReady();
        return;
    }
    if (ready & (PollSet::POLL_READ | PollSet::POLL_ERROR))
        this->receive();
    if (!this->closedState && (ready & PollSet::POLL_WRITE))
        this->flush();
}

void SocketChannel::onConnectReady()
{
    if (this->socket.impl()->socketError()) {
        this->end(End::ConnectFailed);
        return;
    }
    this->connectedState = true;
    this->socket.setNoDelay(true);
    auto const current = this->hooks;
    if (current->connected)
        current->connected();
    if (this->closedState)
        return;
    this->updateMode();
    this->scheduleFlush();
}

static bool isTemporary(Poco::Exception const& exception)
{
    return exception.code() == EAGAIN || exception.code() == EWOULDBLOCK || exception.code() == EINTR;
}

/// Size received, 0 at the end of the stream, or empty when nothing is there.
static std::optional<size_t> tryReceive(Poco::Net::StreamSocket& socket, char* buffer, size_t size)
{
    try {
        int const received = socket.receiveBytes(buffer, static_cast<int>(size));
        if (received < 0)
            return std::nullopt;
        return static_cast<size_t>(received);
    } catch (Poco::Exception const& exception) {
        if (!isTemporary(exception))
            throw;
        return std::nullopt;
    }
}

void SocketChannel::receive()
{
    std::array<char, receiveBytesPerCall> buffer;
    size_t total = 0;
    bool peerClosed = false;
    try {
        while (total < receiveBytesPerTurn && !this->inputEnded) {
            auto const size = tryReceive(this->socket, buffer.data(), buffer.size());
            if (!size)
                break;
            peerClosed = *size == 0;
            if (peerClosed)
                break;
            total += *size;
            if (!this->closing)
                this->inputBuffer.append(buffer.data(), *size);
            if (*size < buffer.size())
                break;
        }
    } catch (Poco::Exception const&) {
        this->end(End::Broken);
        return;
    }
    auto const current = this->hooks;
    if (total && !this->closing && current->received)
        current->received();
    if (peerClosed && !this->closedState)
        this->end(End::PeerClosed);
}

void SocketChannel::flush()
{
    if (this->closedState || !this->connectedState)
        return;
    try {
        while (this->unsent()) {
            int const size = this->socket.sendBytes(
                this->outputBuffer.data() + this->outputOffset, static_cast<int>(this->unsent()), MSG_NOSIGNAL);
            if (size <= 0)
                break;
            this->outputOffset += static_cast<size_t>(size);
            this->sentBytes += static_cast<uint64_t>(size);
        }
    } catch (Poco::Exception const& exception) {
        if (!isTemporary(exception)) {
            this->end(End::Broken);
            return;
        }
        // The kernel's buffer is full; POLL_WRITE tells when to go on.
    }
    if (!this->unsent())
        this->onDrained();
    if (!this->closedState)
        this->updateMode();
}

void SocketChannel::onDrained()
{
    this->outputBuffer.clear();
    this->outputOffset = 0;
    if (!this->closing) {
        auto const current = this->hooks;
        if (current->drained)
            current->drained();
        return;
    }
    if (this->inputEnded) {
        this->close();
        return;
    }
    if (this->sendingShutDown)
        return;
    this->sendingShutDown = true;
    this->loop.cancel(this->lingerTimer);
    this->lingerTimer
        = this->loop.schedule(Clock::now() + lingerTime, [self = this->shared_from_this()] { self->close(); });
    try {
        this->socket.shutdownSend();
    } catch (Poco::Exception const&) {
        this->close();
    }
}

void SocketChannel::end(End reason)
{
    if (this->closedState)
        return;
    auto const self = this->shared_from_this();
    auto const current = this->hooks;
    this->inputEnded = true;
    if (reason != End::PeerClosed || (this->closing && this->sendingShutDown))
        this->close();
    else
        this->updateMode();
    if (!this->closing && current->ended)
        current->ended(reason);
}

void SocketChannel::updateMode()
{
    if (this->closedState)
        return;
    int mode = 0;
    if (!this->connectedState)
        mode = PollSet::POLL_WRITE;
    else if (this->readingEnabled && !this->inputEnded)
        mode = PollSet::POLL_READ;
    if (this->connectedState && this->unsent())
        mode |= PollSet::POLL_WRITE;
    this->loop.update(this->socket, mode);
}

} // namespace Toucan
