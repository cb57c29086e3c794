#include "Net/HttpServer.h"

#include <utility>

namespace Toucan {

HttpServer::HttpServer(EventLoop& loop, std::string const& address, Limits limits, HttpServerSession::Hooks hooks)
    : loop(loop)
    , limits(limits)
    , hooks(std::move(hooks))
    , listener(loop, address, [this](Poco::Net::StreamSocket const& socket) { this->accept(socket); })
{
    this->hooks.closed = [this](HttpServerSession::Pointer const& session) { this->sessions.erase(session); };
}

HttpServer::~HttpServer()
{
    // Closing the listener accepts what the kernel holds, so it comes before the sessions are closed.
    this->listener.close();
    for (auto const& session : std::exchange(this->sessions, {}))
        session->close();
}

void HttpServer::accept(Poco::Net::StreamSocket const& socket)
{
    bool const full = this->sessions.size() >= this->limits.connections;
    auto sessionHooks = this->hooks;
    if (full)
        sessionHooks.closed = nullptr;
    auto const session = HttpServerSession::start(this->loop, socket, this->limits.session, std::move(sessionHooks));
    if (!full) {
        this->sessions.insert(session);
        if (this->keepAliveEnded)
            session->endKeepAlive();
        return;
    }
    session->refuse({ Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "Too many connections",
        "Try another node or retry later" });
}

void HttpServer::endKeepAlive()
{
    this->keepAliveEnded = true;
    for (auto const& session : this->sessions)
        session->endKeepAlive();
}

void HttpServer::beginStop()
{
    this->listener.close();
    auto const current = this->sessions;
    for (auto const& session : current)
        session->closeWhenIdle();
}

} // namespace Toucan
