#include "Net/HttpServer.h"

#include <utility>

namespace Toucan {

/// A session that was idle for less may have a request on its way.
constexpr Milliseconds leastIdleTime { 1000 };
/// Bounds the descriptors of connections that were refused and are not closed yet.
constexpr Milliseconds refusalPeriod { 1000 };
constexpr uint32_t mostRefusalsPerPeriod = 64;

HttpServer::HttpServer(EventLoop& loop, std::string const& address, Limits limits, HttpServerSession::Hooks hooks)
    : loop(loop)
    , limits(std::move(limits))
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
    if (this->sessions.size() >= this->limits.connections && !this->makeRoom()) {
        this->refuse(socket);
        return;
    }
    auto const session = HttpServerSession::start(this->loop, socket, this->limits.session, this->hooks);
    this->sessions.insert(session);
    if (this->keepAliveEnded)
        session->endKeepAlive();
}

bool HttpServer::makeRoom()
{
    HttpServerSession::Pointer oldest;
    Milliseconds oldestStart = Clock::now() - leastIdleTime;
    for (auto const& session : this->sessions) {
        if (auto const start = session->idleSince(); start && *start < oldestStart) {
            oldest = session;
            oldestStart = *start;
        }
    }
    if (oldest)
        oldest->close();
    return oldest != nullptr;
}

void HttpServer::refuse(Poco::Net::StreamSocket const& socket)
{
    if (this->limits.refused)
        this->limits.refused();
    auto const now = Clock::now();
    if (now - this->refusalsStart >= refusalPeriod) {
        this->refusalsStart = now;
        this->refusals = 0;
    }
    // Each answer keeps its descriptor until the peer has closed; without an answer the descriptor is free at once.
    if (++this->refusals > mostRefusalsPerPeriod)
        return;
    auto sessionHooks = this->hooks;
    sessionHooks.closed = nullptr;
    auto const session = HttpServerSession::start(this->loop, socket, this->limits.session, std::move(sessionHooks));
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
