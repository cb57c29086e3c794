#include "Net/ConnectProbe.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cerrno>
#include <memory>

namespace Toucan {

namespace {

    class Probe : public std::enable_shared_from_this<Probe> {
    public:
        Probe(EventLoop& loop, std::function<void(ConnectProbeResult)> done)
            : loop(loop)
            , done(std::move(done))
        {
        }

        void start(std::string const& endpoint, Milliseconds timeout)
        {
            try {
                this->socket.connectNB(Poco::Net::SocketAddress(endpoint));
            } catch (Poco::Net::ConnectionRefusedException const&) {
                this->finishLater(ConnectProbeResult::Refused);
                return;
            } catch (Poco::Exception const&) {
                this->finishLater(ConnectProbeResult::NoAnswer);
                return;
            }
            this->loop.watch(this->socket, Poco::Net::PollSet::POLL_WRITE | Poco::Net::PollSet::POLL_ERROR,
                [self = this->shared_from_this()](int) { self->onReady(); });
            this->timer = this->loop.schedule(Clock::now() + timeout,
                [self = this->shared_from_this()] { self->finish(ConnectProbeResult::NoAnswer); });
        }

    private:
        void finishLater(ConnectProbeResult result)
        {
            this->loop.atTurnEnd([self = this->shared_from_this(), result] { self->done(result); });
        }

        void onReady()
        {
            this->loop.cancel(this->timer);
            auto const error = this->socket.impl()->socketError();
            if (error == ECONNREFUSED)
                this->finish(ConnectProbeResult::Refused);
            else
                this->finish(
                    error == 0 || error == ECONNRESET ? ConnectProbeResult::Accepted : ConnectProbeResult::NoAnswer);
        }

        void finish(ConnectProbeResult result)
        {
            auto const self = this->shared_from_this();
            this->loop.unwatch(this->socket);
            this->socket.close();
            this->done(result);
        }

        EventLoop& loop;
        std::function<void(ConnectProbeResult)> done;
        Poco::Net::StreamSocket socket;
        EventLoop::Timer timer;
    };

} // namespace

void probeConnect(
    EventLoop& loop, std::string const& endpoint, Milliseconds timeout, std::function<void(ConnectProbeResult)> done)
{
    std::make_shared<Probe>(loop, std::move(done))->start(endpoint, timeout);
}

} // namespace Toucan
