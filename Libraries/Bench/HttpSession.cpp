#include "Bench/HttpSession.h"

#include "Base/Error.h"

namespace Toucan::Bench {

static constexpr int statusBadRequest = 400;

HttpSession::HttpSession(BenchLoop& loop, std::shared_ptr<StreamSession> stream, Hooks hooks)
    : loop(loop)
    , stream(std::move(stream))
    , hooks(std::move(hooks))
{
}

std::shared_ptr<HttpSession> HttpSession::create(
    BenchLoop& loop, std::shared_ptr<StreamSession> stream, Hooks hooks, Milliseconds readyAt)
{
    std::shared_ptr<HttpSession> session(new HttpSession(loop, std::move(stream), std::move(hooks)));
    session->stream->setHooks({ [session] { session->readNext(); }, [session] { session->reportClosed(); } });
    if (readyAt <= Clock::now())
        return session;
    session->busy = true;
    loop.schedule(readyAt, [session] {
        session->busy = false;
        session->readNext();
    });
    return session;
}

void HttpSession::readNext()
{
    if (this->busy || !this->open())
        return;
    try {
        auto request = takeRequest(this->stream->input());
        if (!request)
            return;
        this->busy = true;
        this->hooks.request(this->shared_from_this(), std::move(*request));
    } catch (Error const& error) {
        this->stream->send(writeResponse(statusBadRequest, { { "Connection", "close" } }, ""));
        this->stream->closeAfterSending();
        this->reportClosed();
    }
}

void HttpSession::respond(int status, HttpFields const& fields, std::string_view body)
{
    if (!this->open())
        return;
    this->stream->send(writeResponse(status, fields, body));
    this->busy = false;
    if (this->stream->input().empty())
        return;
    // A pipelined request is handled from the event loop, so that calls do not nest.
    this->loop.schedule(0_ms, [self = this->shared_from_this()] { self->readNext(); });
}

void HttpSession::respondTruncated(int status, HttpFields const& fields, std::string_view body)
{
    auto const response = writeResponse(status, fields, body);
    this->stream->send(std::string_view(response).substr(0, response.size() - body.size() / 2));
    this->stream->closeAfterSending();
    this->reportClosed();
}

void HttpSession::reportClosed()
{
    // The stream may fail after the session has closed it; the owner expects one call of Hooks::closed per session.
    if (auto const closed = std::exchange(this->hooks.closed, {}))
        closed(this->shared_from_this());
}

void HttpSession::close() { this->stream->close(); }

void HttpSession::reset() { this->stream->reset(); }

} // namespace Toucan::Bench
