#include "GatewayNode/RelayClient.h"

#include "GatewayNode/RelayServer.h"
#include "Quota/QuotaCodec.h"
#include <Poco/URI.h>

namespace Toucan {

using Poco::Net::HTTPResponse;

/// Time beyond the relay's own wait within which its answer must arrive.
constexpr Milliseconds answerMargin { 500 };
constexpr Milliseconds connectTimeout { 400 };
/// More than the recent changes that a relay holds, and several times the entries of a large deployment.
constexpr size_t maximumAnswerBytes = 8388608;
/// One waiting request for changes, and one report of observations.
constexpr uint32_t connectionsPerRelay = 2;
constexpr Milliseconds reportTimeout { 500 };
constexpr Milliseconds probeTimeout { 450 };
/// Time after which the next relay is asked for tokens, including the time to connect.
constexpr Milliseconds quotaTimeout { 25 };
constexpr size_t maximumProbeAnswerBytes = 4096;
/// More than the answer to a message with the largest number of asks.
constexpr size_t maximumQuotaAnswerBytes = 1048576;

RelayClient::RelayClient(EventLoop& loop, RegistryDecoder decode, std::string node)
    : decode(std::move(decode))
    , node(std::move(node))
    , pool(loop, { .sizes = { 16384, maximumAnswerBytes }, .connectTimeout = connectTimeout })
    , probePool(loop, { .sizes = { 16384, maximumProbeAnswerBytes }, .connectTimeout = connectTimeout })
    , quotaPool(loop, { .sizes = { 16384, maximumQuotaAnswerBytes }, .connectTimeout = quotaTimeout })
{
}

void RelayClient::follow(std::string const& relay, RelayRequest request, std::function<void(RelayUpdate&&)> done)
{
    Poco::URI uri(RelayServer::changesPath);
    uri.addQueryParameter("after", std::to_string(request.position.revision));
    if (request.position.era)
        uri.addQueryParameter(RelayServer::eraParameter, std::to_string(request.position.era));
    if (request.configuration)
        uri.addQueryParameter(RelayServer::configurationParameter, std::to_string(*request.configuration));
    uri.addQueryParameter("observation", std::to_string(request.lastObservation));
    uri.addQueryParameter("wait", std::to_string(static_cast<uint64_t>(request.wait.value)));
    uri.addQueryParameter(RelayServer::compactParameter, "1");
    if (!this->node.empty())
        uri.addQueryParameter(RelayServer::nodeParameter, this->node);
    if (!request.address.empty()) {
        uri.addQueryParameter(RelayServer::addressParameter, request.address);
        uri.addQueryParameter(RelayServer::termParameter, std::to_string(request.term));
        uri.addQueryParameter(
            RelayServer::settledParameter, std::to_string(static_cast<uint64_t>(request.settledFor.value)));
    }
    this->call(relay, uri.getPathAndQuery(), std::move(done));
}

void RelayClient::copy(std::string const& relay, std::function<void(RelayUpdate&&)> done)
{
    Poco::URI uri(RelayServer::entriesPath);
    uri.addQueryParameter(RelayServer::compactParameter, "1");
    this->call(relay, uri.getPathAndQuery(), std::move(done));
}

void RelayClient::report(
    std::string const& relay, Reporter reporter, std::string const& body, std::function<void(std::string const&)> lost)
{
    Poco::URI uri(RelayServer::observationsPath);
    if (reporter == Reporter::Relay)
        uri.addQueryParameter(RelayServer::relayedParameter, "1");
    this->post(relay, uri.getPathAndQuery(), body, { std::move(lost) });
}

void RelayClient::reportNodes(std::string const& relay, NodeReport const& report, std::function<void()> received)
{
    // The next report replaces one that is lost.
    this->post(
        relay, RelayServer::nodesPath, writeNodeReport(report), { [](std::string const&) {}, std::move(received) });
}

void RelayClient::probe(std::string const& relay, IssuingShare::Asker asker, std::function<void(bool)> done)
{
    Poco::URI uri(RelayServer::statusPath);
    if (asker == IssuingShare::Asker::Connected)
        uri.addQueryParameter(RelayServer::connectedParameter, "1");
    HttpExchange exchange;
    exchange.head = Poco::Net::HTTPRequest("GET", uri.getPathAndQuery(), Poco::Net::HTTPMessage::HTTP_1_1);
    exchange.timeout = probeTimeout;
    exchange.done = [done = std::move(done)](HttpClientResult&& result) {
        // A relay of the version before knows no such path, and runs.
        bool const answered = result.transport == HttpTransportStatus::Answered;
        done(answered && result.head.getStatus() != HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    };
    this->probePool.send(relay, 1, std::move(exchange));
}

void RelayClient::askQuota(
    std::string const& relay, QuotaRequest const& request, std::function<void(std::optional<QuotaAnswer>&&)> done)
{
    HttpExchange exchange;
    exchange.head = Poco::Net::HTTPRequest("POST", RelayServer::quotaPath, Poco::Net::HTTPMessage::HTTP_1_1);
    exchange.head.setContentType("application/json");
    exchange.body = std::make_shared<std::string const>(writeQuotaRequest(request));
    exchange.timeout = quotaTimeout;
    exchange.done = [done = std::move(done)](HttpClientResult&& result) {
        std::optional<QuotaAnswer> answer;
        if (result.transport == HttpTransportStatus::Answered && result.head.getStatus() == HTTPResponse::HTTP_OK) {
            try {
                answer = readQuotaAnswer(result.body);
            } catch (std::exception const&) {
                // Counts as a relay that does not answer; its tokens are lost.
                answer.reset();
            }
        }
        done(std::move(answer));
    };
    this->quotaPool.send(relay, 1, std::move(exchange));
}

void RelayClient::post(
    std::string const& relay, std::string const& target, std::string const& body, PostHooks postHooks)
{
    HttpExchange exchange;
    exchange.head = Poco::Net::HTTPRequest("POST", target, Poco::Net::HTTPMessage::HTTP_1_1);
    exchange.head.setContentType("application/json");
    exchange.body = std::make_shared<std::string const>(body);
    exchange.whenBusy = HttpExchange::WhenBusy::Drop;
    exchange.timeout = reportTimeout;
    exchange.done = [postHooks = std::move(postHooks)](HttpClientResult&& result) {
        if (result.transport != HttpTransportStatus::Answered || result.head.getStatus() != HTTPResponse::HTTP_OK)
            postHooks.lost(describeFailure(result));
        else if (postHooks.received)
            postHooks.received();
    };
    this->pool.send(relay, connectionsPerRelay, std::move(exchange));
}

void RelayClient::call(std::string const& relay, std::string const& target, std::function<void(RelayUpdate&&)> done)
{
    HttpExchange exchange;
    exchange.head = Poco::Net::HTTPRequest("GET", target, Poco::Net::HTTPMessage::HTTP_1_1);
    exchange.repeat = HttpExchange::Repeat::Allowed;
    exchange.timeout = RelayServer::maximumWait + answerMargin;
    exchange.done = [this, done = std::move(done)](HttpClientResult&& result) {
        RelayUpdate update;
        bool const answered = result.transport == HttpTransportStatus::Answered;
        if (answered && result.head.getStatus() == HTTPResponse::HTTP_GONE) {
            update.status = RegistryStatus::HistoryLost;
        } else if (!answered || result.head.getStatus() != HTTPResponse::HTTP_OK) {
            update.reason = describeFailure(result);
        } else {
            try {
                auto const read
                    = result.head.getContentType() == compactUpdateType ? readCompactUpdate : readRelayUpdate;
                update = read(result.body, this->decode);
            } catch (std::exception const& error) {
                update.reason = error.what();
            }
        }
        done(std::move(update));
    };
    this->pool.send(relay, connectionsPerRelay, std::move(exchange));
}

} // namespace Toucan
