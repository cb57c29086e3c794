#include "Bench/HttpConnectionPool.h"

#include "Base/Error.h"

#include <algorithm>

namespace Toucan::Bench {

std::string_view toString(CallFailure failure)
{
    switch (failure) {
    case CallFailure::None:
        return "";
    case CallFailure::ConnectFailed:
        return "connect-failed";
    case CallFailure::Broken:
        return "broken";
    case CallFailure::TimedOut:
        return "timed-out";
    case CallFailure::BadAnswer:
        break;
    }
    return "bad-answer";
}

HttpConnectionPool::HttpConnectionPool(BenchLoop& loop, std::string const& address, uint32_t connectionLimit)
    : loop(loop)
    , addressText(address)
    , socketAddress(address)
    , connectionLimit(connectionLimit)
{
}

HttpConnectionPool::~HttpConnectionPool()
{
    this->closeIdle();
    for (auto const& exchange : this->busy)
        exchange->stream->close();
}

void HttpConnectionPool::closeIdle()
{
    for (auto const& stream : std::exchange(this->idle, {}))
        stream->close();
}

void HttpConnectionPool::call(std::string request, Milliseconds timeout, Callback callback)
{
    auto const exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->callback = std::move(callback);
    exchange->timer = this->loop.schedule(Clock::now() + timeout, [this, exchange] { this->onTimeout(exchange); });
    this->assign(exchange);
}

void HttpConnectionPool::assign(ExchangePointer const& exchange)
{
    if (!this->idle.empty()) {
        auto const stream = *this->idle.begin();
        this->idle.erase(this->idle.begin());
        return this->send(exchange, stream);
    }
    if (this->busy.size() >= this->connectionLimit) {
        this->waiting.push_back(exchange);
        return;
    }
    try {
        this->send(exchange, StreamSession::connect(this->loop, this->socketAddress));
    } catch (Error const&) {
        this->finish(exchange, {}, CallFailure::ConnectFailed);
    }
}

void HttpConnectionPool::send(ExchangePointer const& exchange, std::shared_ptr<StreamSession> const& stream)
{
    exchange->stream = stream;
    this->busy.insert(exchange);
    stream->setHooks(
        { [this, exchange] { this->onReceived(exchange); }, [this, exchange] { this->onClosed(exchange); } });
    stream->send(exchange->request);
}

void HttpConnectionPool::onReceived(ExchangePointer const& exchange)
{
    try {
        auto response = takeResponse(exchange->stream->input());
        if (!response)
            return;
        if (response->header->getKeepAlive())
            this->returnToIdle(exchange->stream);
        else
            exchange->stream->close();
        this->finish(exchange, std::move(response), CallFailure::None);
    } catch (Error const&) {
        exchange->stream->close();
        this->finish(exchange, {}, CallFailure::BadAnswer);
    }
}

void HttpConnectionPool::returnToIdle(std::shared_ptr<StreamSession> const& stream)
{
    // Surplus bytes after an answer must not be read as the answer to the next request.
    if (!stream->input().empty())
        return stream->close();
    auto const closeIdleStream = [this, weak = std::weak_ptr<StreamSession>(stream)] {
        if (auto const idleStream = weak.lock()) {
            this->idle.erase(idleStream);
            idleStream->close();
        }
    };
    stream->setHooks({ closeIdleStream, closeIdleStream });
    this->idle.insert(stream);
}

void HttpConnectionPool::onClosed(ExchangePointer const& exchange)
{
    auto const failure = exchange->stream->connected() ? CallFailure::Broken : CallFailure::ConnectFailed;
    this->finish(exchange, {}, failure);
}

void HttpConnectionPool::onTimeout(ExchangePointer const& exchange)
{
    if (exchange->stream)
        exchange->stream->close();
    std::erase(this->waiting, exchange);
    this->finish(exchange, {}, CallFailure::TimedOut);
}

void HttpConnectionPool::finish(
    ExchangePointer const& exchange, std::optional<HttpResponse>&& response, CallFailure failure)
{
    this->loop.cancel(exchange->timer);
    this->busy.erase(exchange);
    if (!this->waiting.empty() && this->busy.size() < this->connectionLimit) {
        auto const next = this->waiting.front();
        this->waiting.pop_front();
        this->assign(next);
    }
    exchange->callback(std::move(response), failure);
}

} // namespace Toucan::Bench
