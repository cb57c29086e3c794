#include "Net/HttpServer.h"

#include <utility>

namespace Toucan {

/// A session that was idle for less time may have a request in transit.
constexpr Milliseconds minimumIdleTime { 1000 };
/// Limits the descriptors of connections that were refused and are not closed yet.
constexpr Milliseconds refusalPeriod { 1000 };
constexpr uint32_t maximumRefusalsPerPeriod = 64;

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
    // Closing the listener accepts the connections in the backlog, so it is closed before the sessions.
    this->listener.close();
    for (auto const& session : std::exchange(this->sessions, {}))
        session->close();
}

void HttpServer::accept(Poco::Net::StreamSocket const& socket)
{
    if (this->sessions.size() >= this->limits.connections && !this->closeLongestIdleSession()) {
        this->refuse(socket);
        return;
    }
    auto const session = HttpServerSession::start(this->loop, socket, this->limits.session, this->hooks);
    this->sessions.insert(session);
    if (this->keepAliveEnded)
        session->endKeepAlive();
}

bool HttpServer::closeLongestIdleSession()
{
    HttpServerSession::Pointer oldest;
    Milliseconds oldestStart = Clock::now() - minimumIdleTime;
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
    if (now - this->refusalPeriodStart >= refusalPeriod) {
        this->refusalPeriodStart = now;
        this->refusals = 0;
    }
    // A response keeps its descriptor until the peer has closed; without a response the descriptor is released at once.
    if (++this->refusals > maximumRefusalsPerPeriod)
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
