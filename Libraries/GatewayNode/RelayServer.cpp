#include "GatewayNode/RelayServer.h"

#include "Base/Error.h"
#include "GatewayNode/RelayCodec.h"
#include "Quota/QuotaCodec.h"
#include <Poco/NumberParser.h>
#include <Poco/URI.h>
#include <algorithm>

namespace Toucan {

using Poco::Net::HTTPResponse;

constexpr size_t requestHeaderBytes = 4096;
/// Largest report, in bytes: more than the observations of one query over hundreds of shards, and than the asks for
/// tokens of one message.
constexpr size_t reportBytes = 131072;
/// Largest number of connections to one relay. A follower uses up to two: a request for changes, and a report. Each
/// node uses one more to ask for tokens of workspaces.
constexpr size_t maximumConnections = 1000;
/// Observations are useful within a fraction of a second only, so they are flushed soon. The period per follower keeps
/// a relay with many followers from sending more than 250 answers per second.
constexpr Milliseconds minimumFlushPeriod { 100 };
constexpr Milliseconds flushPeriodPerFollower { 4 };
/// Period of answers with the requests under which targets end: their callers repeat them within milliseconds.
constexpr Milliseconds terminationFlushPeriod { 20 };
/// Largest number of terminations in the answer to a follower that starts.
constexpr size_t maximumKnownTerminations = 64;
/// Number of compressed answers that are kept. Followers request changes after only a few different revisions, even
/// while changes come in quick succession.
constexpr size_t maximumCachedAnswers = 8;

RelayServer::RelayServer(EventLoop& loop, std::string const& address, RegistrySync& sync, Hooks hooks)
    : loop(loop)
    , sync(sync)
    , hooks(std::move(hooks))
    , nodeCounter(Clock::now())
    , server(loop, address, { { .sizes = { requestHeaderBytes, reportBytes } }, maximumConnections },
          this->createSessionHooks())
{
}

RelayServer::~RelayServer()
{
    this->loop.cancel(this->flushTimer);
    for (auto const& [session, entry] : this->waiting) {
        this->sync.relay().cancelWait(entry.number);
        this->loop.cancel(entry.timer);
    }
}

HttpServerSession::Hooks RelayServer::createSessionHooks()
{
    HttpServerSession::Hooks sessionHooks;
    sessionHooks.request = [this](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
        this->onRequest(session, request);
    };
    sessionHooks.disconnected = [this](HttpServerSession::Pointer const& session) { this->onDisconnected(session); };
    return sessionHooks;
}

static std::string readText(Poco::URI const& uri, std::string_view wanted)
{
    for (auto const& [name, value] : uri.getQueryParameters()) {
        if (name == wanted)
            return value;
    }
    return {};
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
        auto const format = readNumber(uri, compactParameter).value_or(0) ? BodyFormat::Compact : BodyFormat::Json;
        if (uri.getPath() == entriesPath)
            this->answer(session, this->sync.relay().snapshot(), format, std::nullopt);
        else if (uri.getPath() == quotaPath && this->hooks.quota)
            this->handleQuota(session, request);
        else if (uri.getPath() == changesPath && revision) {
            if (auto const node = readText(uri, nodeParameter); !node.empty()) {
                this->nodeCounter.onSeen(node, Clock::now());
                auto const settled = static_cast<double>(readNumber(uri, settledParameter).value_or(0));
                if (this->hooks.followed)
                    this->hooks.followed({ node, readNumber(uri, termParameter).value_or(0), { settled } },
                        readText(uri, addressParameter));
            }
            this->answerChanges(session,
                { { readNumber(uri, eraParameter).value_or(0), *revision }, readNumber(uri, "observation").value_or(0),
                    Milliseconds { static_cast<double>(readNumber(uri, "wait").value_or(0)) },
                    readNumber(uri, configurationParameter) },
                format);
        } else if (uri.getPath() == statusPath && this->hooks.answerProbe) {
            auto const asker = readNumber(uri, connectedParameter).value_or(0) ? IssuingShare::Asker::Connected
                                                                               : IssuingShare::Asker::Other;
            HTTPResponse head(
                this->hooks.answerProbe(asker) ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
            session->respond(head, "");
        } else if (uri.getPath() == nodesPath)
            this->handleNodeReport(session, request);
        else if (uri.getPath() == observationsPath)
            this->handleReport(session, request,
                readNumber(uri, relayedParameter).value_or(0) ? ReportOrigin::Relay : ReportOrigin::Follower);
        else
            session->refuse({ HTTPResponse::HTTP_NOT_FOUND, "No such resource", "Run the same version on all nodes" });
    } catch (Error const& error) {
        session->refuse({ error.kind() == ErrorKind::LimitExceeded ? HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE
                                                                   : HTTPResponse::HTTP_BAD_REQUEST,
            error.detail(), error.remedy() });
    } catch (Poco::Exception const& exception) {
        session->refuse(
            { HTTPResponse::HTTP_BAD_REQUEST, exception.displayText(), "Run the same version on all nodes" });
    }
}

RelayUpdate RelayServer::updateFor(RelayRequest const& request) const
{
    auto update = this->sync.relay().changesAfter(request.position, request.configuration);
    update.observations = this->feed.after(request.lastObservation, Clock::now());
    update.lastObservation = this->feed.last();
    // A follower that starts learns what the feed no longer holds.
    if (request.lastObservation == 0 && this->feed.last() > 0) {
        for (auto const& [report, at] : this->sync.knownTerminations(maximumKnownTerminations))
            update.observations.push_back(observationOf(report, Clock::now() - at));
    }
    return update;
}

void RelayServer::answerChanges(HttpServerSession::Pointer const& session, RelayRequest request, BodyFormat format)
{
    auto& relay = this->sync.relay();
    auto update = this->updateFor(request);
    if (update.status != RegistryStatus::Ok || relay.hasChangesAfter(request.position)) {
        this->answer(session, std::move(update), format, request);
        return;
    }
    auto const answerNow = [this, session, request, format] {
        this->stopWaiting(session);
        this->answer(session, this->updateFor(request), format, request);
    };
    this->waiting[session.get()] = { relay.waitForChange(answerNow),
        this->loop.schedule(Clock::now() + std::min(request.wait, maximumWait), answerNow), answerNow };
    if (!update.observations.empty())
        this->scheduleFlush(this->usualFlushPeriod());
}

void RelayServer::handleReport(
    HttpServerSession::Pointer const& session, HttpServerRequest const& request, ReportOrigin origin)
{
    auto const observations = readObservations(request.body);
    this->sync.applyObservations(observations);
    this->publish(observations);
    if (origin == ReportOrigin::Follower)
        this->hooks.reported(observations);
    HTTPResponse head(HTTPResponse::HTTP_OK);
    session->respond(head, "");
}

void RelayServer::handleNodeReport(HttpServerSession::Pointer const& session, HttpServerRequest const& request)
{
    auto const report = readNodeReport(request.body);
    this->nodeCounter.onReport(report, Clock::now());
    if (this->hooks.heard)
        this->hooks.heard(report.heard);
    HTTPResponse head(HTTPResponse::HTTP_OK);
    session->respond(head, "");
}

void RelayServer::handleQuota(HttpServerSession::Pointer const& session, HttpServerRequest const& request)
{
    this->quotaSessions[session.get()] = session;
    bool const issues = this->hooks.quota(readQuotaRequest(request.body), [session](QuotaAnswer&& answer) {
        HTTPResponse head(HTTPResponse::HTTP_OK);
        head.setContentType("application/json");
        session->respond(head, writeQuotaAnswer(answer));
    });
    if (!issues)
        session->refuse({ HTTPResponse::HTTP_NOT_FOUND, "This node issues no tokens", "Ask the relays" });
}

void RelayServer::publish(std::span<TargetObservation const> observations)
{
    this->feed.append(observations, Clock::now());
    bool const isUrgent = std::any_of(observations.begin(), observations.end(),
        [](TargetObservation const& observation) { return observation.termination.has_value(); });
    this->scheduleFlush(isUrgent ? terminationFlushPeriod : this->usualFlushPeriod());
}

Milliseconds RelayServer::usualFlushPeriod() const
{
    return std::max(minimumFlushPeriod, flushPeriodPerFollower * static_cast<double>(this->waiting.size()));
}

void RelayServer::scheduleFlush(Milliseconds period)
{
    auto const at = Clock::now() + period;
    if (this->flushPending && this->flushTimer.at <= at)
        return;
    if (this->flushPending)
        this->loop.cancel(this->flushTimer);
    this->flushPending = true;
    this->flushTimer = this->loop.schedule(at, [this] { this->flush(); });
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
    this->sync.relay().cancelWait(found->second.number);
    this->loop.cancel(found->second.timer);
    this->waiting.erase(found);
}

void RelayServer::onDisconnected(HttpServerSession::Pointer const& session) { this->stopWaiting(session); }

/// Whether both requests are for the same entries.
static bool wantSameEntries(std::optional<RelayRequest> const& one, std::optional<RelayRequest> const& other)
{
    if (!one || !other)
        return !one && !other;
    return one->position == other->position && one->configuration == other->configuration;
}

std::string const& RelayServer::compressedEntriesFor(
    RelayUpdate const& update, std::optional<RelayRequest> const& request)
{
    auto const configuration = this->sync.relay().configurationVersion();
    for (auto const& entry : this->compressedEntries) {
        if (wantSameEntries(entry.request, request) && entry.position == update.position
            && entry.configuration == configuration)
            return entry.bytes;
    }
    if (this->compressedEntries.size() >= maximumCachedAnswers)
        this->compressedEntries.pop_front();
    this->compressedEntries.push_back(
        { request, update.position, configuration, compressEntries(update.events, this->hooks.compact) });
    return this->compressedEntries.back().bytes;
}

void RelayServer::answer(HttpServerSession::Pointer const& session, RelayUpdate&& update, BodyFormat format,
    std::optional<RelayRequest> const& request)
{
    if (update.status != RegistryStatus::Ok) {
        bool const lost = update.status == RegistryStatus::HistoryLost;
        HTTPResponse head(lost ? HTTPResponse::HTTP_GONE : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        session->respond(head, update.reason);
        return;
    }
    // Connections count as followers. This is an upper estimate: a report uses a second connection, and other relays
    // connect as well.
    std::erase_if(this->quotaSessions, [](auto const& entry) { return entry.second.expired(); });
    auto const connections = this->server.connections();
    this->sync.setFollowers(static_cast<uint32_t>(connections - std::min(connections, this->quotaSessions.size())));
    this->sync.addRelayStatus(update);
    update.nodes = this->nodeCounter.count(Clock::now());
    HTTPResponse head(HTTPResponse::HTTP_OK);
    if (format == BodyFormat::Compact) {
        head.setContentType(compactUpdateType);
        session->respond(
            head, writeCompactUpdate(update, update.events.empty() ? "" : this->compressedEntriesFor(update, request)));
        return;
    }
    head.setContentType("application/json");
    session->respond(head, writeRelayUpdate(update));
}

} // namespace Toucan
