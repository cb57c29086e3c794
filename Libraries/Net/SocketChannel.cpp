#include "Net/SocketChannel.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace Toucan {

using Poco::Net::PollSet;

/// Texts of fewer bytes are copied into one buffer, because each buffer costs a system call.
constexpr size_t minimumSharedOutput = 16384;
/// An empty input buffer keeps at most this many bytes, because most connections are idle most of the time.
constexpr size_t keptInputCapacity = 4096;
/// Time that a closing connection waits for its peer to close too.
constexpr Milliseconds lingerTime { 1000 };
/// Time limit for sending the last response to a peer that reads slowly.
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
    if (this->closedState || this->closing || bytes.empty())
        return;
    if (!this->appendableOutput) {
        this->appendableOutput = std::make_shared<std::string>();
        this->output.push_back(this->appendableOutput);
    }
    this->appendableOutput->append(bytes);
    this->unsentBytes += bytes.size();
    this->scheduleFlush();
}

void SocketChannel::write(std::shared_ptr<std::string const> const& text)
{
    if (text->size() < minimumSharedOutput) {
        this->write(std::string_view(*text));
        return;
    }
    if (this->closedState || this->closing)
        return;
    this->appendableOutput.reset();
    this->output.push_back(text);
    this->unsentBytes += text->size();
    this->scheduleFlush();
}

void SocketChannel::keepUntilDrained(std::shared_ptr<void const> memory)
{
    if (memory && this->unsent())
        this->outputMemory.push_back(std::move(memory));
}

void SocketChannel::discardOutput()
{
    this->output.clear();
    this->appendableOutput.reset();
    this->outputOffset = 0;
    this->unsentBytes = 0;
    this->outputMemory.clear();
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

void SocketChannel::accountInput(ByteBudget::Holder& memory, size_t bytes)
{
    bool const more = memory.resize(bytes, [waiting = this->weak_from_this()] {
        if (auto const channel = waiting.lock())
            channel->setReading(true);
    });
    if (!more)
        this->setReading(false);
}

void SocketChannel::closeAfterOutput()
{
    if (this->closedState || this->closing)
        return;
    this->closing = true;
    this->inputBuffer.clear();
    // Releases the owner, which holds this channel: the reference cycle would outlive a loop that ends before the
    // channel.
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
    this->discardOutput();
    // Releases the owner; running hooks hold their own reference.
    this->hooks = std::make_shared<Hooks>();
}

void SocketChannel::onReady(int ready)
{
    try {
        this->dispatch(ready);
    } catch (std::exception const&) {
        // The owner's state is unknown, so the connection cannot be used any more; the loop reports the exception.
        auto const error = std::current_exception();
        this->end(End::Broken);
        std::rethrow_exception(error);
    }
}

void SocketChannel::dispatch(int ready)
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
    auto const error = this->socket.impl()->socketError();
    // ECONNRESET means that the peer accepted the connection and reset it before the loop saw it.
    this->connectedState = error == 0 || error == ECONNRESET;
    if (error) {
        this->end(this->connectedState ? End::Broken : End::ConnectFailed);
        return;
    }
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

/// Number of bytes received, 0 at the end of the stream, or empty when no data is available.
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
    std::array<char, defaultReceiveBytes> buffer;
    std::optional<size_t> size;
    try {
        size = tryReceive(this->socket, buffer.data(), std::min(this->receiveBytes, buffer.size()));
    } catch (Poco::Exception const&) {
        this->end(End::Broken);
        return;
    }
    if (!size)
        return;
    if (*size == 0) {
        this->end(End::PeerClosed);
        return;
    }
    if (this->closing)
        return;
    this->inputBuffer.append(buffer.data(), *size);
    auto const current = this->hooks;
    if (current->received)
        current->received();
    this->releaseInputMemory();
}

void SocketChannel::releaseInputMemory()
{
    if (this->inputBuffer.empty() && this->inputBuffer.capacity() > keptInputCapacity)
        this->inputBuffer = std::string();
}

void SocketChannel::flush()
{
    if (this->closedState || !this->connectedState)
        return;
    try {
        while (this->unsent()) {
            auto const& first = *this->output.front();
            int const size = this->socket.sendBytes(
                first.data() + this->outputOffset, static_cast<int>(first.size() - this->outputOffset), MSG_NOSIGNAL);
            if (size <= 0)
                break;
            this->outputOffset += static_cast<size_t>(size);
            this->unsentBytes -= static_cast<size_t>(size);
            this->sentBytes += static_cast<uint64_t>(size);
            if (this->outputOffset < first.size())
                continue;
            if (this->appendableOutput == this->output.front())
                this->appendableOutput.reset();
            this->output.pop_front();
            this->outputOffset = 0;
        }
    } catch (Poco::Exception const& exception) {
        if (!isTemporary(exception)) {
            this->end(End::Broken);
            return;
        }
        // The kernel's send buffer is full; POLL_WRITE reports when it has space again.
    }
    if (!this->unsent())
        this->onDrained();
    if (!this->closedState)
        this->updateMode();
}

void SocketChannel::onDrained()
{
    this->discardOutput();
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
