#include "GatewayNode/RelayServer.h"

#include "Base/Error.h"
#include "GatewayNode/RelayCodec.h"
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace Toucan {

using Poco::Net::HTTPResponse;

constexpr size_t questionHeaderBytes = 4096;
/// Above the observations of one query over hundreds of shards.
constexpr size_t reportBytes = 32768;
/// Followers of one relay at the most; each keeps one connection.
constexpr size_t mostFollowers = 500;
/// Observations are worth most within a fraction of a second; the second bound keeps a relay with many followers from
/// sending more than 250 answers a second.
constexpr Milliseconds shortestFlushPeriod { 100 };
constexpr Milliseconds flushPeriodPerFollower { 4 };
/// Followers differ by a few revisions at most while changes come in quick succession.
constexpr size_t mostCompressedEntries = 8;

RelayServer::RelayServer(EventLoop& loop, std::string const& address, RegistrySync& sync, Hooks hooks)
    : loop(loop)
    , sync(sync)
    , hooks(std::move(hooks))
    , server(loop, address, { { .sizes = { questionHeaderBytes, reportBytes } }, mostFollowers },
          this->createSessionHooks())
{
}

HttpServerSession::Hooks RelayServer::createSessionHooks()
{
    HttpServerSession::Hooks sessionHooks;
    sessionHooks.request = [this](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
        this->onRequest(session, request);
    };
    sessionHooks.disconnected = [this](HttpServerSession::Pointer const& session) { this->onGone(session); };
    return sessionHooks;
}

static std::optional<uint64_t> readNumber(Poco::URI const& uri, std::string_view wanted)
{
    for (auto const& [name, value] : uri.getQueryParameters()) {
        Poco::UInt64 number = 0;
        if (name == wanted && Poco::NumberParser::tryParseUnsigned64(value, number))
            return number;
    }
    return std::nullopt;
}

void RelayServer::onRequest(HttpServerSession::Pointer const& session, HttpServerRequest const& request)
{
    try {
        Poco::URI const uri(request.head.getURI());
        auto const revision = readNumber(uri, "after");
        auto const form = readNumber(uri, compactParameter).value_or(0) ? Form::Compact : Form::Json;
        if (uri.getPath() == entriesPath)
            this->answer(session, this->sync.relay().snapshot(), form, std::nullopt);
        else if (uri.getPath() == changesPath && revision)
            this->answerChanges(session,
                { *revision, readNumber(uri, "observation").value_or(0),
                    Milliseconds { static_cast<double>(readNumber(uri, "wait").value_or(0)) } },
                form);
        else if (uri.getPath() == observationsPath)
            this->takeReport(session, request,
                readNumber(uri, relayedParameter).value_or(0) ? ReportOrigin::Relay : ReportOrigin::Follower);
        else
            session->refuse({ HTTPResponse::HTTP_NOT_FOUND, "No such resource", "Run the same version on all nodes" });
    } catch (Error const& error) {
        session->refuse({ HTTPResponse::HTTP_BAD_REQUEST, error.detail(), error.remedy() });
    } catch (Poco::Exception const& exception) {
        session->refuse(
            { HTTPResponse::HTTP_BAD_REQUEST, exception.displayText(), "Run the same version on all nodes" });
    }
}

RelayUpdate RelayServer::newsFor(RelayQuestion const& question) const
{
    auto news = this->sync.relay().changesAfter(question.revision);
    news.observations = this->feed.after(question.observation, Clock::now());
    news.lastObservation = this->feed.last();
    return news;
}

void RelayServer::answerChanges(HttpServerSession::Pointer const& session, RelayQuestion question, Form form)
{
    auto& relay = this->sync.relay();
    auto news = this->newsFor(question);
    if (news.status != RegistryStatus::Ok || relay.hasChangesAfter(question.revision)) {
        this->answer(session, std::move(news), form, question.revision);
        return;
    }
    auto const answerNow = [this, session, question, form] {
        this->stopWaiting(session);
        this->answer(session, this->newsFor(question), form, question.revision);
    };
    this->waiting[session.get()] = { relay.wait(answerNow),
        this->loop.schedule(Clock::now() + std::min(question.wait, longestWait), answerNow), answerNow };
    if (!news.observations.empty())
        this->flushSoon();
}

void RelayServer::takeReport(
    HttpServerSession::Pointer const& session, HttpServerRequest const& request, ReportOrigin origin)
{
    auto const observations = readObservations(request.body);
    this->sync.takeObservations(observations);
    this->publish(observations);
    if (origin == ReportOrigin::Follower)
        this->hooks.reported(observations);
    HTTPResponse head(HTTPResponse::HTTP_OK);
    session->respond(head, "");
}

void RelayServer::publish(std::span<TargetObservation const> observations)
{
    this->feed.append(observations, Clock::now());
    this->flushSoon();
}

void RelayServer::flushSoon()
{
    if (this->flushPending)
        return;
    this->flushPending = true;
    auto const period
        = std::max(shortestFlushPeriod, flushPeriodPerFollower * static_cast<double>(this->waiting.size()));
    this->loop.schedule(Clock::now() + period, [this] { this->flush(); });
}

void RelayServer::flush()
{
    this->flushPending = false;
    std::vector<std::function<void()>> answers;
    for (auto const& [session, entry] : this->waiting)
        answers.push_back(entry.answerNow);
    for (auto const& answerNow : answers)
        answerNow();
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

std::string const& RelayServer::compressed(RelayUpdate const& news, std::optional<uint64_t> after)
{
    for (auto const& entry : this->compressedEntries) {
        if (entry.after == after && entry.revision == news.revision)
            return entry.bytes;
    }
    if (this->compressedEntries.size() >= mostCompressedEntries)
        this->compressedEntries.pop_front();
    this->compressedEntries.push_back({ after, news.revision, compressEntries(news.events, this->hooks.compact) });
    return this->compressedEntries.back().bytes;
}

void RelayServer::answer(
    HttpServerSession::Pointer const& session, RelayUpdate&& news, Form form, std::optional<uint64_t> after)
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
    if (form == Form::Compact) {
        head.setContentType(compactNewsType);
        session->respond(head, writeCompactUpdate(news, news.events.empty() ? "" : this->compressed(news, after)));
        return;
    }
    head.setContentType("application/json");
    session->respond(head, writeRelayUpdate(news));
}

} // namespace Toucan
