#include "Bench/StreamSession.h"

#include "Base/Error.h"

#include <Poco/Exception.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Toucan::Bench {

static constexpr size_t readBufferBytes = 65536;
/// Largest number of connections that the kernel holds until they are accepted.
static constexpr int listenBacklog = 1024;

StreamSession::StreamSession(BenchLoop& loop, int descriptor)
    : loop(loop)
    , descriptor(descriptor)
{
    // Requests and answers are single small writes; Nagle's algorithm would delay the second one in flight.
    int const on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

StreamSession::~StreamSession() { this->close(); }

std::shared_ptr<StreamSession> StreamSession::adopt(BenchLoop& loop, int descriptor)
{
    std::shared_ptr<StreamSession> session(new StreamSession(loop, descriptor));
    session->isConnected = true;
    session->start();
    return session;
}

std::shared_ptr<StreamSession> StreamSession::connect(BenchLoop& loop, Poco::Net::SocketAddress const& address)
{
    auto const descriptor = socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        throw Error(ErrorKind::Unavailable, "No socket could be opened", "Raise the limit of open files");
    std::shared_ptr<StreamSession> session(new StreamSession(loop, descriptor));
    if (::connect(descriptor, address.addr(), address.length()) < 0 && errno != EINPROGRESS)
        throw Error(ErrorKind::Unavailable, "No connection to " + address.toString(), "Check that it listens");
    session->start();
    return session;
}

void StreamSession::start()
{
    this->events = EPOLLIN | (this->isConnected ? 0U : static_cast<uint32_t>(EPOLLOUT));
    // The loop owns the session until it is closed.
    this->watch = this->loop.watch(
        this->descriptor, this->events, [self = this->shared_from_this()](uint32_t ready) { self->onReady(ready); });
}

void StreamSession::onReady(uint32_t ready)
{
    auto const self = this->shared_from_this();
    if (ready & EPOLLOUT) {
        if (!this->isConnected) {
            int error = 0;
            socklen_t size = sizeof(error);
            getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error)
                return this->closeAndNotify();
            this->isConnected = true;
        }
        this->writeAvailable();
    }
    if (this->open() && (ready & (EPOLLIN | EPOLLHUP | EPOLLERR)))
        this->readAvailable();
    if (this->open())
        this->updateEvents();
}

void StreamSession::readAvailable()
{
    thread_local std::array<char, readBufferBytes> buffer;
    auto const count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        this->inputBuffer.append(buffer.data(), static_cast<size_t>(count));
        if (auto const received = this->hooks.received)
            received();
        return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    this->closeAndNotify();
}

void StreamSession::writeAvailable()
{
    while (this->unsentBytes()) {
        auto const count = ::send(
            this->descriptor, this->outputBuffer.data() + this->outputOffset, this->unsentBytes(), MSG_NOSIGNAL);
        if (count < 0) {
            // A broken connection is reported by the next read event, never inside send().
            if (errno != EAGAIN && errno != EINTR) {
                this->outputBuffer.clear();
                this->outputOffset = 0;
            }
            return;
        }
        this->outputOffset += static_cast<size_t>(count);
    }
    this->outputBuffer.clear();
    this->outputOffset = 0;
    if (this->closesAfterSending)
        this->close();
}

void StreamSession::updateEvents()
{
    uint32_t wanted = this->paused ? 0U : static_cast<uint32_t>(EPOLLIN);
    if (this->unsentBytes() || !this->isConnected)
        wanted |= EPOLLOUT;
    if (wanted == this->events)
        return;
    this->events = wanted;
    this->loop.setEvents(this->watch, wanted);
}

void StreamSession::send(std::string_view bytes)
{
    if (!this->open())
        return;
    this->outputBuffer.append(bytes);
    if (this->isConnected)
        this->writeAvailable();
    if (this->open())
        this->updateEvents();
}

void StreamSession::closeAfterSending()
{
    this->closesAfterSending = true;
    if (this->open() && !this->unsentBytes())
        this->close();
}

void StreamSession::close()
{
    if (!this->open())
        return;
    // The watch may hold the last reference to this session.
    auto const self = this->weak_from_this().lock();
    auto const closing = this->descriptor;
    this->descriptor = -1;
    this->hooks = {};
    this->loop.unwatch(this->watch);
    ::close(closing);
}

void StreamSession::reset()
{
    if (!this->open())
        return;
    linger const immediately { 1, 0 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    this->close();
}

void StreamSession::closeAndNotify()
{
    auto const closed = std::move(this->hooks.closed);
    this->close();
    if (closed)
        closed();
}

void StreamSession::pauseReading()
{
    this->paused = true;
    if (this->open())
        this->updateEvents();
}

void StreamSession::resumeReading()
{
    this->paused = false;
    if (this->open())
        this->updateEvents();
}

StreamListener::StreamListener(
    BenchLoop& loop, std::string const& address, std::function<void(std::shared_ptr<StreamSession> const&)> accepted)
    : loop(loop)
    , accepted(std::move(accepted))
{
    try {
        this->socket.bind(Poco::Net::SocketAddress(address), true, false);
        this->socket.listen(listenBacklog);
        this->socket.setBlocking(false);
    } catch (Poco::Exception const& exception) {
        throw Error(ErrorKind::Unavailable, "Cannot listen on " + address + ": " + exception.displayText(),
            "Choose an address that no other process uses");
    }
    this->watch = this->loop.watch(this->socket.impl()->sockfd(), EPOLLIN, [this](uint32_t) { this->acceptAll(); });
}

StreamListener::~StreamListener() { this->loop.unwatch(this->watch); }

void StreamListener::acceptAll()
{
    while (true) {
        auto const descriptor = accept4(this->socket.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        this->accepted(StreamSession::adopt(this->loop, descriptor));
    }
}

} // namespace Toucan::Bench
