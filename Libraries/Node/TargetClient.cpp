#include "Node/TargetClient.h"

#include "Base/Error.h"
#include "Base/Json.h"
#include <Poco/URI.h>
#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace Toucan {

/// Timeout of cancels and polls, which are of no use when they take longer.
constexpr Milliseconds cancelOrPollTimeout { 1000 };

static std::optional<uint32_t> parseCount(std::string_view text)
{
    uint32_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Reads "running/queued/slots"; zeros when the text is malformed, because reported loads are unreliable anyway.
static TargetLoad parseLoad(std::string_view text)
{
    auto const first = text.find('/');
    auto const second = text.find('/', first + 1);
    if (first == std::string_view::npos || second == std::string_view::npos)
        return {};
    auto const running = parseCount(text.substr(0, first));
    auto const queued = parseCount(text.substr(first + 1, second - first - 1));
    auto const slots = parseCount(text.substr(second + 1));
    if (!running || !queued || !slots)
        return {};
    return { *running, *queued, *slots };
}

static TargetState parseState(std::string_view text)
{
    if (text == "draining")
        return TargetState::Draining;
    return text == "starting" ? TargetState::Starting : TargetState::Serving;
}

static TargetAnswer::Transport transportOf(HttpTransportStatus transport)
{
    switch (transport) {
    case HttpTransportStatus::Answered:
        return TargetAnswer::Transport::Answered;
    case HttpTransportStatus::ConnectFailed:
    case HttpTransportStatus::Rejected:
    case HttpTransportStatus::NoConnection:
    case HttpTransportStatus::Withdrawn:
        return TargetAnswer::Transport::ConnectFailed;
    case HttpTransportStatus::TimedOut:
        return TargetAnswer::Transport::TimedOut;
    case HttpTransportStatus::Broken:
        break;
    }
    return TargetAnswer::Transport::Broken;
}

static Json::Value parseOptionalJson(std::string const& text)
{
    try {
        return parseJson(text);
    } catch (Error const&) {
        return {};
    }
}

static Poco::Net::HTTPRequest requestOf(PartRequest const& part)
{
    bool const command = part.idempotence == Idempotence::NonIdempotent;
    Poco::Net::HTTPRequest head(Poco::Net::HTTPRequest::HTTP_POST, command ? "/v1/command" : "/v1/search");
    head.setContentType("application/json");
    head.set("Toucan-Attempt", part.attempt);
    head.set("Toucan-Request-Id", part.requestId);
    head.set("Toucan-Snapshot", part.snapshot);
    head.set("Toucan-Shard", std::to_string(part.shard));
    head.set("Toucan-Deadline-Ms", std::to_string(std::lround(std::floor(std::max(part.remaining.value, 1.0)))));
    if (command)
        head.set("Toucan-Request-Key", part.requestKey);
    return head;
}

TargetClient::TargetClient(EventLoop& loop, Hooks hooks)
    : hooks(std::move(hooks))
    , pool(loop, HttpClientPool::Limits {})
{
}

void TargetClient::call(TargetCall const& call)
{
    ++this->totals.calls;
    auto const& part = call.part;
    this->addresses[part.attempt] = call.address;
    this->connectionShares[call.address] = call.connectionShare;
    HttpExchange exchange;
    exchange.head = requestOf(part);
    exchange.body = part.body;
    exchange.repeat
        = part.idempotence == Idempotence::Idempotent ? HttpExchange::Repeat::Allowed : HttpExchange::Repeat::Forbidden;
    exchange.timeout = part.remaining;
    exchange.done = [this, attempt = part.attempt, target = part.target](
                        HttpClientResult&& result) { this->onAnswer(attempt, target, std::move(result)); };
    this->pool.send(call.address, call.connectionShare, std::move(exchange));
}

void TargetClient::onAnswer(AttemptId const& attempt, std::string const& target, HttpClientResult&& result)
{
    this->addresses.erase(attempt);
    TargetAnswer answer;
    answer.attempt = attempt;
    answer.target = target;
    answer.transport = transportOf(result.transport);
    if (result.transport == HttpTransportStatus::Answered) {
        auto const& head = result.head;
        answer.status = static_cast<int>(head.getStatus());
        answer.body = parseOptionalJson(result.body);
        answer.load = parseLoad(head.get("Toucan-Load", ""));
        answer.state = parseState(head.get("Toucan-State", ""));
        answer.reportedNotStarted = head.get("Toucan-Started", "") == "no";
        answer.retryAfter = { static_cast<double>(parseCount(head.get("Retry-After-Ms", "")).value_or(0)) };
    }
    this->hooks.answered(std::move(answer));
}

void TargetClient::cancel(AttemptId const& attempt)
{
    auto const found = this->addresses.find(attempt);
    if (found == this->addresses.end())
        return;
    ++this->totals.cancels;
    std::string encoded;
    Poco::URI::encode(attempt, "/?#", encoded);
    HttpExchange exchange;
    exchange.head = Poco::Net::HTTPRequest(Poco::Net::HTTPRequest::HTTP_DELETE, "/v1/attempts/" + encoded);
    exchange.repeat = HttpExchange::Repeat::Allowed;
    exchange.whenBusy = HttpExchange::WhenBusy::Drop;
    exchange.timeout = cancelOrPollTimeout;
    exchange.done = [this](HttpClientResult&& result) {
        if (result.transport == HttpTransportStatus::NoConnection)
            ++this->totals.dropped;
    };
    this->pool.send(found->second, this->connectionShares[found->second], std::move(exchange));
}

void TargetClient::setConnectionLimit(std::string const& address, uint32_t connections)
{
    this->connectionShares[address] = connections;
    this->pool.setConnectionLimit(address, connections);
}

void TargetClient::poll(std::string const& target, std::string const& address)
{
    ++this->totals.polls;
    HttpExchange exchange;
    exchange.head = Poco::Net::HTTPRequest(Poco::Net::HTTPRequest::HTTP_GET, "/v1/status");
    exchange.repeat = HttpExchange::Repeat::Allowed;
    exchange.whenBusy = HttpExchange::WhenBusy::Drop;
    exchange.timeout = cancelOrPollTimeout;
    exchange.done = [this, target](HttpClientResult&& result) {
        if (result.transport == HttpTransportStatus::NoConnection)
            ++this->totals.dropped;
        // A failed poll is ignored; the results of attempts are the better indication of the target's health.
        if (result.transport != HttpTransportStatus::Answered || result.head.getStatus() != 200)
            return;
        auto const& head = result.head;
        this->hooks.status(target, parseState(head.get("Toucan-State", "")), parseLoad(head.get("Toucan-Load", "")));
    };
    // One connection is used until a share is reported for the address; every dispatcher may open one.
    auto const share = this->connectionShares.find(address);
    this->pool.send(address, share == this->connectionShares.end() ? 1 : share->second, std::move(exchange));
}

} // namespace Toucan
