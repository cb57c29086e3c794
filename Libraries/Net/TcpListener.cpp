#include "Net/TcpListener.h"

#include "Base/Error.h"
#include <Poco/Exception.h>
#include <cerrno>

namespace Toucan {

/// Largest number of connections that the kernel holds until they are accepted.
constexpr int backlog = 1024;
/// Largest number of connections that are accepted in one loop turn.
constexpr size_t acceptsPerTurn = 64;
/// Pause after an accept that failed because no descriptors were free.
constexpr Milliseconds acceptPause { 50 };

TcpListener::TcpListener(EventLoop& loop, std::string const& address, Accepted accepted)
    : loop(loop)
    , accepted(std::move(accepted))
{
    try {
        // Without SO_REUSEPORT, so that a second process on the same port fails instead of taking half of the load.
        this->socket.bind(Poco::Net::SocketAddress(address), true, false);
        this->socket.listen(backlog);
    } catch (Poco::Exception const& exception) {
        throw Error(ErrorKind::InvalidSettings, "Cannot listen on " + address + ": " + exception.displayText(),
            "Choose an address of this VM and a free port");
    }
    this->socket.setBlocking(false);
    this->loop.watch(this->socket, Poco::Net::PollSet::POLL_READ, [this](int) { this->acceptReady(); });
}

TcpListener::~TcpListener() { this->close(); }

void TcpListener::close()
{
    if (!this->open)
        return;
    // The kernel would reset the connections that are still in the backlog.
    while (this->acceptReady() == acceptsPerTurn)
        ;
    this->open = false;
    this->loop.cancel(this->resumeTimer);
    this->loop.unwatch(this->socket);
    this->socket.close();
}

size_t TcpListener::acceptReady()
{
    size_t count = 0;
    for (; count < acceptsPerTurn && this->open; ++count) {
        try {
            auto const connection = this->socket.acceptConnection();
            this->accepted(connection);
        } catch (Poco::Exception const& exception) {
            if (exception.code() == EMFILE || exception.code() == ENFILE) {
                this->loop.update(this->socket, 0);
                this->resumeTimer = this->loop.schedule(Clock::now() + acceptPause,
                    [this] { this->loop.update(this->socket, Poco::Net::PollSet::POLL_READ); });
            }
            // Otherwise the backlog is empty, or the connection was reset before it was accepted.
            break;
        }
    }
    return count;
}

} // namespace Toucan
