#include "GatewayNode/RelayServer.h"

#include "GatewayNode/RelayCodec.h"
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace Toucan {

using Poco::Net::HTTPResponse;

/// Followers of one relay at the most; each keeps one connection.
constexpr size_t mostFollowers = 500;

RelayServer::RelayServer(EventLoop& loop, std::string const& address, RegistrySync& sync)
    : loop(loop)
    , sync(sync)
    , server(loop, address, { {}, mostFollowers }, this->createHooks())
{
}

HttpServerSession::Hooks RelayServer::createHooks()
{
    HttpServerSession::Hooks hooks;
    hooks.request = [this](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
        this->onRequest(session, request);
    };
    hooks.gone = [this](HttpServerSession::Pointer const& session) { this->onGone(session); };
    return hooks;
}

static std::optional<uint64_t> readRevision(Poco::URI const& uri)
{
    for (auto const& [name, value] : uri.getQueryParameters()) {
        Poco::UInt64 revision = 0;
        if (name == "after" && Poco::NumberParser::tryParseUnsigned64(value, revision))
            return revision;
    }
    return std::nullopt;
}

void RelayServer::onRequest(HttpServerSession::Pointer const& session, HttpServerRequest const& request)
{
    try {
        Poco::URI const uri(request.head.getURI());
        auto const revision = readRevision(uri);
        if (uri.getPath() == entriesPath)
            this->answer(session, this->sync.relay().snapshot());
        else if (uri.getPath() == changesPath && revision)
            this->answerChanges(session, *revision);
        else
            session->refuse({ HTTPResponse::HTTP_NOT_FOUND, "No such resource", "Run the same version on all nodes" });
    } catch (Poco::Exception const& exception) {
        session->refuse(
            { HTTPResponse::HTTP_BAD_REQUEST, exception.displayText(), "Run the same version on all nodes" });
    }
}

void RelayServer::answerChanges(HttpServerSession::Pointer const& session, uint64_t revision)
{
    auto& relay = this->sync.relay();
    auto news = relay.changesAfter(revision);
    if (news.status != RegistryStatus::Ok || relay.hasChangesAfter(revision)) {
        this->answer(session, std::move(news));
        return;
    }
    auto const answerNow = [this, session, revision] {
        this->stopWaiting(session);
        this->answer(session, this->sync.relay().changesAfter(revision));
    };
    this->waiting[session.get()]
        = { relay.wait(answerNow), this->loop.schedule(Clock::now() + longestWait, answerNow) };
}

void RelayServer::stopWaiting(HttpServerSession::Pointer const& session)
{
    auto const found = this->waiting.find(session.get());
    if (found == this->waiting.end())
        return;
    this->sync.relay().forget(found->second.number);
    this->loop.cancel(found->second.timer);
    this->waiting.erase(found);
}

void RelayServer::onGone(HttpServerSession::Pointer const& session) { this->stopWaiting(session); }

void RelayServer::answer(HttpServerSession::Pointer const& session, RelayedNews&& news)
{
    if (news.status != RegistryStatus::Ok) {
        bool const lost = news.status == RegistryStatus::HistoryLost;
        HTTPResponse head(lost ? HTTPResponse::HTTP_GONE : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        session->respond(head, news.reason);
        return;
    }
    // Each follower keeps one connection.
    this->sync.setFollowers(static_cast<uint32_t>(this->server.connections()));
    this->sync.describe(news);
    HTTPResponse head(HTTPResponse::HTTP_OK);
    head.setContentType("application/json");
    session->respond(head, writeRelayedNews(news));
}

} // namespace Toucan
