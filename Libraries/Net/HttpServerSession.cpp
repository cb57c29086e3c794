#include "Net/HttpServerSession.h"

#include <Poco/Net/HTTPServerSession.h>
#include <sstream>

namespace Toucan {

using Poco::Net::HTTPResponse;
using Status = HttpMessageReader::Status;

/// Unsent output of fewer bytes is not counted in the budget, so that most responses need no holder.
constexpr size_t minimumBudgetedOutput = 4096;

static HttpError errorFor(Status status, HttpServerLimits const& limits)
{
    switch (status) {
    case Status::HeaderTooLarge:
    case Status::TrailerTooLarge:
        return { HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "The header is too large",
            "Send at most " + std::to_string(limits.sizes.headerBytes) + " bytes" };
    case Status::BodyTooLarge:
        return { HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "The body is too large",
            "Send at most " + std::to_string(limits.sizes.bodyBytes) + " bytes" };
    case Status::UnsupportedCoding:
        return { HTTPResponse::HTTP_NOT_IMPLEMENTED, "The transfer coding is not supported",
            "Send the body with Content-Length or in chunks" };
    case Status::UnsupportedVersion:
        return { HTTPResponse::HTTP_VERSION_NOT_SUPPORTED, "The HTTP version is not supported", "Use HTTP/1.1" };
    default:
        return { HTTPResponse::HTTP_BAD_REQUEST, "The request is not valid HTTP/1.1",
            "Send a request as RFC 9112 says" };
    }
}

HttpServerSession::Pointer HttpServerSession::start(
    EventLoop& loop, Poco::Net::StreamSocket const& socket, HttpServerLimits const& limits, Hooks hooks)
{
    Pointer session(new HttpServerSession(loop, limits, std::move(hooks)));
    SocketChannel::Hooks channelHooks;
    channelHooks.received = [session] { session->onReceived(); };
    channelHooks.drained = [session] { session->onDrained(); };
    channelHooks.ended = [session](SocketChannel::End end) { session->onEnded(end); };
    session->channel = SocketChannel::adopt(loop, socket, std::move(channelHooks));
    session->channel->setReceiveBytes(limits.receiveBytes);
    session->enterIdle();
    return session;
}

HttpServerSession::HttpServerSession(EventLoop& loop, HttpServerLimits const& limits, Hooks hooks)
    : loop(loop)
    , limits(limits)
    , hooks(std::make_shared<Hooks>(std::move(hooks)))
    , reader(HttpMessageReader::Kind::Request, limits.sizes)
{
}

void HttpServerSession::setTimer(Milliseconds delay, void (HttpServerSession::*task)())
{
    this->loop.cancel(this->timer);
    this->timer
        = this->loop.schedule(Clock::now() + delay, [self = this->shared_from_this(), task] { ((*self).*task)(); });
}

void HttpServerSession::enterIdle()
{
    this->state = State::Idle;
    this->reader = HttpMessageReader(HttpMessageReader::Kind::Request, this->limits.sizes);
    this->continueSent = false;
    this->idleStart = Clock::now();
    this->setTimer(this->limits.idleTimeout, &HttpServerSession::close);
}

std::optional<Milliseconds> HttpServerSession::idleSince() const
{
    if (this->state != State::Idle)
        return std::nullopt;
    return this->idleStart;
}

void HttpServerSession::onReceived()
{
    if (this->state == State::Idle) {
        this->state = State::Reading;
        this->setTimer(this->limits.requestTimeout, &HttpServerSession::onRequestTimeout);
    }
    if (this->state == State::Reading) {
        this->readRequest();
        return;
    }
    // These bytes belong to a pipelined request. They are not processed, and reading stops above the header limit.
    this->keepAlive = false;
    if (this->channel->input().size() > this->limits.sizes.headerBytes)
        this->channel->setReading(false);
}

void HttpServerSession::readRequest()
{
    auto const status = this->reader.read(this->channel->input());
    if (status == Status::NeedMore) {
        this->sendContinue();
        this->accountForInput();
        return;
    }
    if (status != Status::Complete) {
        this->refuse(errorFor(status, this->limits));
        return;
    }
    this->loop.cancel(this->timer);
    this->channel->setReading(true);
    if (this->memory)
        this->memory->complete();
    this->state = State::Running;
    this->keepAlive = this->reader.request().getKeepAlive() && this->channel->input().empty();
    auto const current = this->hooks;
    bool const firstOnConnection = !std::exchange(this->hasServed, true);
    current->request(this->shared_from_this(),
        { this->reader.request(), std::move(this->reader.body()), firstOnConnection, this->channel->roundTripTime(),
            std::move(this->memory) });
}

/// Accounts for the buffered request and stops reading while the budget is exhausted; the request's timeout keeps
/// running.
void HttpServerSession::accountForInput()
{
    if (!this->limits.budget)
        return;
    if (!this->memory)
        this->memory = this->limits.budget->createHolder();
    this->channel->accountInput(*this->memory, this->reader.body().size() + this->channel->input().size());
}

void HttpServerSession::sendContinue()
{
    if (this->continueSent || !this->reader.expectsBody() || !this->reader.request().getExpectContinue())
        return;
    this->continueSent = true;
    this->channel->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void HttpServerSession::respond(HTTPResponse& head, std::string body, std::shared_ptr<void const> bodyMemory)
{
    if (this->state != State::Running)
        return;
    this->keepAlive = this->keepAlive && !this->closeRequested;
    this->sendResponse(head, std::move(body), std::move(bodyMemory));
}

void HttpServerSession::refuse(HttpError const& error)
{
    if (this->state == State::Closed || this->state == State::Responding)
        return;
    HTTPResponse head(HTTPResponse::HTTP_1_1, error.status);
    std::string body = error.detail + ". " + error.remedy + "\n";
    head.setContentType("text/plain");
    if (this->hooks->writeErrorBody)
        this->hooks->writeErrorBody(error, head, body);
    this->keepAlive = false;
    this->sendResponse(head, std::move(body));
}

bool HttpServerSession::answersHead()
{
    // The bytes of a head that was not read completely are still in the input.
    return this->reader.request().getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD
        || (!this->reader.hasHead() && this->channel->input().starts_with("HEAD "));
}

void HttpServerSession::sendResponse(HTTPResponse& head, std::string body, std::shared_ptr<void const> bodyMemory)
{
    head.setVersion(HTTPResponse::HTTP_1_1);
    bool const answersHead = this->answersHead();
    auto const status = head.getStatus();
    // RFC 9110, section 8.6: no Content-Length with 204.
    if (status == HTTPResponse::HTTP_NO_CONTENT)
        head.erase(HTTPResponse::CONTENT_LENGTH);
    else if (status != HTTPResponse::HTTP_NOT_MODIFIED && (!answersHead || !body.empty()))
        head.setContentLength(static_cast<std::streamsize>(body.size()));
    if (answersHead || status == HTTPResponse::HTTP_NO_CONTENT || status == HTTPResponse::HTTP_NOT_MODIFIED)
        body.clear();
    head.set("Connection", this->keepAlive ? "keep-alive" : "close");
    std::ostringstream text;
    head.write(text);
    this->state = State::Responding;
    this->setTimer(this->limits.responseTimeout, &HttpServerSession::close);
    this->channel->write(text.str());
    if (!body.empty())
        this->channel->write(std::make_shared<std::string const>(std::move(body)));
    this->channel->keepUntilDrained(std::move(bodyMemory));
    this->memory.reset();
    if (!this->limits.budget || this->channel->unsent() < minimumBudgetedOutput)
        return;
    // Unsent output of slow readers counts against the budget, so that fewer new requests are read.
    std::shared_ptr<ByteBudget::Holder> const unsent = this->limits.budget->createHolder();
    unsent->resize(this->channel->unsent(), [] {});
    this->channel->keepUntilDrained(unsent);
}

void HttpServerSession::onDrained()
{
    if (this->state != State::Responding)
        return;
    // The connection closes without processing a request that arrived before the response was sent completely.
    if (!this->keepAlive || this->closeRequested) {
        this->finish();
        return;
    }
    this->enterIdle();
    if (!this->channel->input().empty())
        this->onReceived();
}

void HttpServerSession::onEnded(SocketChannel::End)
{
    if (this->state == State::Running) {
        auto const current = this->hooks;
        if (current->disconnected)
            current->disconnected(this->shared_from_this());
    }
    if (this->state != State::Responding || this->channel->isClosed())
        this->close();
    else
        this->keepAlive = false;
}

void HttpServerSession::onRequestTimeout()
{
    this->refuse({ HTTPResponse::HTTP_REQUEST_TIMEOUT, "The request was not received in time",
        "Send the whole request within " + std::to_string(static_cast<int>(this->limits.requestTimeout.value))
            + " ms" });
}

void HttpServerSession::closeWhenIdle()
{
    this->closeRequested = true;
    if (this->state == State::Idle)
        this->setTimer(this->limits.stopGrace, &HttpServerSession::close);
}

void HttpServerSession::finish()
{
    if (this->state == State::Closed)
        return;
    auto const self = this->shared_from_this();
    this->state = State::Closed;
    this->loop.cancel(this->timer);
    // The channel sends the remaining output and closes itself within its own time limit.
    this->channel->closeAfterOutput();
    auto const current = std::exchange(this->hooks, std::make_shared<Hooks>());
    if (current->closed)
        current->closed(self);
}

void HttpServerSession::close()
{
    auto const self = this->shared_from_this();
    this->finish();
    this->channel->close();
}

} // namespace Toucan
