#include "Bench/CallerPool.h"

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

CallerPool::CallerPool(BenchLoop& loop, std::string const& address, uint32_t connectionLimit)
    : loop(loop)
    , addressText(address)
    , socketAddress(address)
    , connectionLimit(connectionLimit)
{
}

CallerPool::~CallerPool()
{
    this->closeIdle();
    for (auto const& exchange : this->busy)
        exchange->stream->close();
}

void CallerPool::closeIdle()
{
    for (auto const& stream : std::exchange(this->idle, {}))
        stream->close();
}

void CallerPool::call(std::string request, Milliseconds timeout, Callback callback)
{
    auto const exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->callback = std::move(callback);
    exchange->timer = this->loop.schedule(Clock::now() + timeout, [this, exchange] { this->onTimeout(exchange); });
    this->assign(exchange);
}

void CallerPool::assign(ExchangePointer const& exchange)
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

void CallerPool::send(ExchangePointer const& exchange, std::shared_ptr<StreamSession> const& stream)
{
    exchange->stream = stream;
    this->busy.insert(exchange);
    stream->setHooks(
        { [this, exchange] { this->onReceived(exchange); }, [this, exchange] { this->onClosed(exchange); } });
    stream->send(exchange->request);
}

void CallerPool::onReceived(ExchangePointer const& exchange)
{
    try {
        auto response = takeResponse(exchange->stream->input());
        if (!response)
            return;
        if (response->header->getKeepAlive())
            this->keep(exchange->stream);
        else
            exchange->stream->close();
        this->finish(exchange, std::move(response), CallFailure::None);
    } catch (Error const&) {
        exchange->stream->close();
        this->finish(exchange, {}, CallFailure::BadAnswer);
    }
}

void CallerPool::keep(std::shared_ptr<StreamSession> const& stream)
{
    // Bytes after an answer belong to no request; the next request must not take them for its own answer.
    if (!stream->input().empty())
        return stream->close();
    auto const drop = [this, weak = std::weak_ptr<StreamSession>(stream)] {
        if (auto const gone = weak.lock()) {
            this->idle.erase(gone);
            gone->close();
        }
    };
    stream->setHooks({ drop, drop });
    this->idle.insert(stream);
}

void CallerPool::onClosed(ExchangePointer const& exchange)
{
    auto const failure = exchange->stream->connected() ? CallFailure::Broken : CallFailure::ConnectFailed;
    this->finish(exchange, {}, failure);
}

void CallerPool::onTimeout(ExchangePointer const& exchange)
{
    if (exchange->stream)
        exchange->stream->close();
    std::erase(this->waiting, exchange);
    this->finish(exchange, {}, CallFailure::TimedOut);
}

void CallerPool::finish(ExchangePointer const& exchange, std::optional<HttpResponse>&& response, CallFailure failure)
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
