#include "Bench/TargetStandIn.h"

#include "Base/Error.h"
#include "Base/Hash.h"
#include "Base/Json.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>
#include <algorithm>
#include <cmath>

namespace Toucan::Bench {

static constexpr uint32_t hitsPerShard = 3;
static constexpr uint32_t maximumQueuedPerSlot = 2;
static constexpr double maximumColdStartFactor = 5;
static constexpr Milliseconds defaultDrainGrace = 10000_ms;
static constexpr double defaultDeadlineMs = 60000;
static constexpr int statusOk = 200;
static constexpr int statusNoContent = 204;
static constexpr int statusBadRequest = 400;
static constexpr int statusNotFound = 404;
static constexpr int statusGone = 410;
static constexpr int statusCancelled = 499;
static constexpr int statusUnavailable = 503;
static constexpr int statusDeadlineExceeded = 504;
static constexpr std::string_view attemptsPath = "/v1/attempts/";

static std::map<std::string, std::set<uint32_t>> parseSnapshots(Json::Value const& snapshots)
{
    std::map<std::string, std::set<uint32_t>> result;
    for (auto const& name : snapshots.getMemberNames()) {
        auto& shards = result[name];
        for (auto const& shard : snapshots[name])
            shards.insert(shard.asUInt());
    }
    return result;
}

TargetProfile TargetProfile::parse(Json::Value const& settings)
{
    try {
        TargetProfile profile;
        profile.name = settings["name"].asString();
        profile.service = settings["service"].asString();
        profile.address = settings["address"].asString();
        profile.slots = settings.get("slots", 1).asUInt();
        profile.connectionLimit = settings.get("connections", 1).asUInt();
        profile.connectDelay = { settings.get("connectMs", 0).asDouble() };
        profile.serviceTime = { settings.get("serviceMs", 1).asDouble() };
        profile.jitter = settings.get("jitter", 0).asDouble();
        profile.coldStartDuration = { settings.get("coldStartMs", 0).asDouble() };
        profile.drainGrace = { settings.get("drainGraceMs", defaultDrainGrace.value).asDouble() };
        profile.snapshots = parseSnapshots(settings["snapshots"]);
        if (!profile.name.empty() && !profile.address.empty() && profile.slots)
            return profile;
    } catch (Json::Exception const& exception) {
        throw Error(ErrorKind::InvalidSettings, std::string("Bad target settings: ") + exception.what(),
            "Correct the entry of \"targets\"");
    }
    throw Error(ErrorKind::InvalidSettings, "A target lacks its name, address or slots",
        "Give \"name\", \"address\" and \"slots\" of at least 1");
}

TargetStandIn::TargetStandIn(BenchLoop& loop, HistoryWriter& history, TargetProfile targetProfile, uint64_t seed)
    : loop(loop)
    , history(history)
    , profile(std::move(targetProfile))
    , random(hash64(this->profile.name, seed))
    , startedAt(Clock::now())
{
    this->listen();
}

TargetStandIn::~TargetStandIn() { this->crash(); }

void TargetStandIn::listen()
{
    this->listener = std::make_unique<StreamListener>(
        this->loop, this->profile.address, [this](auto const& stream) { this->onConnection(stream); });
}

void TargetStandIn::onConnection(std::shared_ptr<StreamSession> const& stream)
{
    if (this->sessions.size() >= this->profile.connectionLimit) {
        ++this->counters.connectionsRefused;
        stream->close();
        return;
    }
    HttpSession::Hooks hooks {
        [this](auto const& session, HttpRequest&& request) {
            this->runWhenNotStalled(
                [this, session, request = std::move(request)] { this->onRequest(session, request); });
        },
        [this](auto const& session) { this->onClosed(session); },
    };
    this->sessions.insert(
        HttpSession::create(this->loop, stream, std::move(hooks), Clock::now() + this->profile.connectDelay));
    this->counters.connectionsPeak = std::max(this->counters.connectionsPeak, this->sessions.size());
}

void TargetStandIn::onClosed(std::shared_ptr<HttpSession> const& session)
{
    this->sessions.erase(session);
    // Running executions continue, because their effects cannot be undone; queued ones are removed.
    auto const waiting = this->queue;
    for (auto const& execution : waiting) {
        if (execution->session == session)
            this->release(execution);
    }
}

void TargetStandIn::runWhenNotStalled(std::function<void()> action)
{
    if (this->stalled)
        this->deferredActions.push_back(std::move(action));
    else
        action();
}

void TargetStandIn::onRequest(std::shared_ptr<HttpSession> const& session, HttpRequest const& request)
{
    auto const& path = request.header->getURI();
    auto const& method = request.header->getMethod();
    if (method == "POST" && (path == "/v1/search" || path == "/v1/command"))
        return this->onExecutionRequest(session, request);
    if (method == "DELETE" && path.starts_with(attemptsPath))
        return this->onCancel(session, std::string_view(path).substr(attemptsPath.size()));
    if (method != "GET" || path != "/v1/status")
        return this->refuse(session, statusNotFound, "not-found");
    Json::Value status;
    status["name"] = this->profile.name;
    status["state"] = std::string(this->stateName());
    status["running"]
        = static_cast<Json::UInt64>(this->misreportedLoad ? this->misreportedLoad->first : this->running.size());
    status["queued"]
        = static_cast<Json::UInt64>(this->misreportedLoad ? this->misreportedLoad->second : this->queue.size());
    status["slots"] = this->profile.slots;
    status["snapshots"] = Json::Value(Json::objectValue);
    for (auto const& [snapshot, shards] : this->profile.snapshots) {
        auto& list = status["snapshots"][snapshot] = Json::Value(Json::arrayValue);
        for (auto const shard : shards)
            list.append(shard);
    }
    session->respond(statusOk, this->loadFields(), writeJson(status));
}

void TargetStandIn::onExecutionRequest(std::shared_ptr<HttpSession> const& session, HttpRequest const& request)
{
    auto const& header = *request.header;
    auto const execution = std::make_shared<Execution>();
    execution->attempt = header.get("Toucan-Attempt", "");
    execution->requestId = header.get("Toucan-Request-Id", "");
    execution->requestKey = header.get("Toucan-Request-Key", "");
    execution->snapshot = header.get("Toucan-Snapshot", "");
    execution->session = session;
    double deadline = defaultDeadlineMs;
    auto const isCommand = header.getURI() == "/v1/command";
    auto const readable = Poco::NumberParser::tryParseUnsigned(header.get("Toucan-Shard", ""), execution->shard)
        && Poco::NumberParser::tryParseFloat(
            header.get("Toucan-Deadline-Ms", std::to_string(defaultDeadlineMs)), deadline);
    if (!readable || execution->attempt.empty() || isCommand == execution->requestKey.empty())
        return this->refuse(*execution, statusBadRequest, "bad-request");
    if (this->refusesNewWork()) {
        this->record(*execution, "refused", "draining");
        ++this->counters.shed;
        return this->refuse(*execution, statusUnavailable, "draining");
    }
    if (!this->holds(execution->snapshot, execution->shard)) {
        ++this->counters.snapshotUnavailable;
        return this->refuse(*execution, statusGone, "snapshot-gone");
    }
    if (deadline <= 0)
        return this->refuse(*execution, statusDeadlineExceeded, "deadline-exceeded");
    execution->deadlineTimer = this->loop.schedule(Clock::now() + Milliseconds { deadline },
        [this, execution] { this->runWhenNotStalled([this, execution] { this->onDeadline(execution); }); });
    this->submit(execution);
}

void TargetStandIn::submit(ExecutionPointer const& execution)
{
    if (this->running.size() < this->profile.slots)
        return this->start(execution);
    if (this->queue.size() < static_cast<size_t>(this->profile.slots) * maximumQueuedPerSlot) {
        this->attempts[execution->attempt] = execution;
        this->queue.push_back(execution);
        return;
    }
    ++this->counters.shed;
    this->loop.cancel(execution->deadlineTimer);
    this->refuse(*execution, statusUnavailable, "overloaded");
}

void TargetStandIn::start(ExecutionPointer const& execution)
{
    this->attempts[execution->attempt] = execution;
    this->running.insert(execution);
    ++this->counters.started;
    this->counters.slotsPeak = std::max(this->counters.slotsPeak, this->running.size());
    this->record(*execution, "start", "");
    execution->finishTimer = this->loop.schedule(Clock::now() + this->drawServiceTime(),
        [this, execution] { this->runWhenNotStalled([this, execution] { this->complete(execution); }); });
}

void TargetStandIn::startQueued()
{
    while (!this->queue.empty() && this->running.size() < this->profile.slots) {
        auto const next = this->queue.front();
        this->queue.pop_front();
        if (this->holds(next->snapshot, next->shard)) {
            this->start(next);
            continue;
        }
        // The snapshot was removed while the request was queued.
        ++this->counters.snapshotUnavailable;
        this->loop.cancel(next->deadlineTimer);
        this->attempts.erase(next->attempt);
        this->refuse(*next, statusGone, "snapshot-gone");
    }
}

void TargetStandIn::release(ExecutionPointer const& execution)
{
    this->loop.cancel(execution->deadlineTimer);
    this->loop.cancel(execution->finishTimer);
    this->running.erase(execution);
    std::erase(this->queue, execution);
    if (auto const found = this->attempts.find(execution->attempt);
        found != this->attempts.end() && found->second == execution)
        this->attempts.erase(found);
}

void TargetStandIn::complete(ExecutionPointer const& execution)
{
    if (!this->running.contains(execution))
        return;
    this->release(execution);
    ++this->counters.completed;
    auto const answer = this->answerBody(*execution);
    if (this->answersToTruncate) {
        --this->answersToTruncate;
        this->record(*execution, "end", "truncated");
        execution->session->respondTruncated(statusOk, this->loadFields(), answer);
    } else {
        this->record(*execution, "end", "completed");
        execution->session->respond(statusOk, this->loadFields(), answer);
    }
    this->startQueued();
}

void TargetStandIn::abort(ExecutionPointer const& execution, int status, std::string_view outcome)
{
    auto const hadStarted = this->running.contains(execution);
    this->release(execution);
    if (hadStarted)
        this->record(*execution, "end", outcome);
    auto answer = this->loadFields();
    if (!hadStarted)
        answer.emplace_back("Toucan-Started", "no");
    Json::Value body;
    body["type"] = std::string(outcome);
    body["attempt"] = execution->attempt;
    execution->session->respond(status, answer, writeJson(body));
    this->startQueued();
}

void TargetStandIn::onDeadline(ExecutionPointer const& execution)
{
    if (auto const found = this->attempts.find(execution->attempt);
        found == this->attempts.end() || found->second != execution)
        return;
    ++this->counters.expired;
    this->abort(execution, statusDeadlineExceeded, "deadline-exceeded");
}

void TargetStandIn::onCancel(std::shared_ptr<HttpSession> const& session, std::string_view attempt)
{
    std::string decoded;
    try {
        Poco::URI::decode(std::string(attempt), decoded);
    } catch (Poco::Exception const&) {
        return this->refuse(session, statusBadRequest, "bad-request");
    }
    auto const found = this->attempts.find(decoded);
    if (found == this->attempts.end())
        return this->refuse(session, statusNotFound, "unknown-attempt");
    ++this->counters.cancelled;
    this->abort(ExecutionPointer(found->second), statusCancelled, "cancelled");
    session->respond(statusNoContent, this->loadFields(), "");
}

void TargetStandIn::refuse(std::shared_ptr<HttpSession> const& session, int status, std::string_view type)
{
    Json::Value body;
    body["type"] = std::string(type);
    this->respondRefusal(session, status, body);
}

void TargetStandIn::refuse(Execution const& execution, int status, std::string_view type)
{
    Json::Value body;
    body["type"] = std::string(type);
    body["attempt"] = execution.attempt;
    this->respondRefusal(execution.session, status, body);
}

void TargetStandIn::respondRefusal(std::shared_ptr<HttpSession> const& session, int status, Json::Value const& body)
{
    auto answer = this->loadFields();
    answer.emplace_back("Toucan-Started", "no");
    if (status == statusUnavailable) {
        auto const waiting = static_cast<double>(this->queue.size() + 1) / this->profile.slots;
        auto const retryAfter = std::ceil(this->profile.serviceTime.value * this->slowFactor * waiting);
        answer.emplace_back("Retry-After-Ms", std::to_string(static_cast<uint64_t>(retryAfter)));
    }
    session->respond(status, answer, writeJson(body));
}

void TargetStandIn::record(Execution const& execution, std::string_view kind, std::string_view outcome)
{
    Json::Value line;
    line["time"] = static_cast<Json::Int64>(Clock::wallClock().value);
    line["kind"] = std::string(kind);
    line["target"] = this->profile.name;
    line["service"] = this->profile.service;
    line["attempt"] = execution.attempt;
    line["requestId"] = execution.requestId;
    line["requestKey"] = execution.requestKey;
    line["idempotent"] = execution.requestKey.empty();
    line["snapshot"] = execution.snapshot;
    line["shard"] = execution.shard;
    line["outcome"] = std::string(outcome);
    this->history.write(line);
}

void TargetStandIn::recordState(std::string_view state)
{
    Json::Value line;
    line["time"] = static_cast<Json::Int64>(Clock::wallClock().value);
    line["kind"] = "state";
    line["target"] = this->profile.name;
    line["service"] = this->profile.service;
    line["state"] = std::string(state);
    this->history.write(line);
}

TargetStandIn::State TargetStandIn::state() const
{
    if (this->forcedState)
        return *this->forcedState;
    return Clock::now() < this->startedAt + this->profile.coldStartDuration ? State::Starting : State::Serving;
}

std::string_view TargetStandIn::stateName() const
{
    switch (this->state()) {
    case State::Serving:
        return "serving";
    case State::Starting:
        return "starting";
    case State::Draining:
        break;
    }
    return "draining";
}

bool TargetStandIn::holds(std::string const& snapshot, uint32_t shard) const
{
    auto const found = this->profile.snapshots.find(snapshot);
    return found != this->profile.snapshots.end() && found->second.contains(shard);
}

bool TargetStandIn::refusesNewWork() const
{
    return this->state() == State::Draining && Clock::now() >= this->drainStartedAt + this->profile.drainGrace;
}

double TargetStandIn::coldStartFactor() const
{
    if (this->forcedState == State::Starting)
        return maximumColdStartFactor;
    auto const warmAt = this->startedAt + this->profile.coldStartDuration;
    auto const now = Clock::now();
    if (now >= warmAt)
        return 1;
    return 1 + (maximumColdStartFactor - 1) * (warmAt - now).value / this->profile.coldStartDuration.value;
}

Milliseconds TargetStandIn::drawServiceTime()
{
    auto const jitterFactor = std::exp(this->profile.jitter * this->normal(this->random));
    return this->profile.serviceTime * (jitterFactor * this->slowFactor * this->coldStartFactor());
}

HttpFields TargetStandIn::loadFields() const
{
    auto const runningCount = this->misreportedLoad ? this->misreportedLoad->first : this->running.size();
    auto const queuedCount = this->misreportedLoad ? this->misreportedLoad->second : this->queue.size();
    return {
        { "Toucan-Load",
            std::to_string(runningCount) + "/" + std::to_string(queuedCount) + "/"
                + std::to_string(this->profile.slots) },
        { "Toucan-State", std::string(this->stateName()) },
    };
}

std::string TargetStandIn::answerBody(Execution const& execution) const
{
    auto const prefix = this->profile.service + "/" + execution.snapshot + "/" + std::to_string(execution.shard) + "/";
    Json::Value answer;
    answer["attempt"] = execution.attempt;
    answer["requestId"] = execution.requestId;
    answer["snapshot"] = execution.snapshot;
    answer["shard"] = execution.shard;
    answer["complete"] = true;
    auto& hits = answer["hits"] = Json::Value(Json::arrayValue);
    for (uint32_t index = 0; index < hitsPerShard; ++index) {
        Json::Value hit;
        hit["id"] = prefix + std::to_string(index);
        constexpr uint64_t scoreSteps = 1000000;
        hit["score"] = static_cast<double>(hash64(hit["id"].asString()) % scoreSteps) / scoreSteps;
        // Lets Scripts/check_history.py attribute the hit to its request.
        if (execution.requestKey.empty())
            hit["requestId"] = execution.requestId;
        else
            hit["requestKey"] = execution.requestKey;
        hits.append(hit);
    }
    return writeJson(answer);
}

void TargetStandIn::endStall()
{
    this->stalled = false;
    auto const actions = std::move(this->deferredActions);
    this->deferredActions.clear();
    for (auto const& action : actions)
        action();
}

void TargetStandIn::crash()
{
    this->listener.reset();
    this->deferredActions.clear();
    this->stalled = false;
    this->queue.clear();
    this->attempts.clear();
    for (auto const& execution : std::exchange(this->running, {})) {
        this->loop.cancel(execution->finishTimer);
        this->record(*execution, "end", "crashed");
    }
    for (auto const& session : std::exchange(this->sessions, {}))
        session->reset();
}

void TargetStandIn::restart()
{
    if (this->listener)
        return;
    this->startedAt = Clock::now();
    this->listen();
}

void TargetStandIn::control(Json::Value const& change)
{
    static std::set<std::string> const known { "slowFactor", "state", "snapshots", "stall", "crash", "truncate",
        "misreport", "drainGraceMs" };
    for (auto const& name : change.getMemberNames()) {
        if (!known.contains(name))
            throw Error(ErrorKind::InvalidInput, "Unknown member " + name, "See design section 4.10");
    }
    static std::map<std::string, State> const states { { "serving", State::Serving }, { "starting", State::Starting },
        { "draining", State::Draining } };
    if (change.isMember("state") && !states.contains(change["state"].asString()))
        throw Error(ErrorKind::InvalidInput, "Unknown state", "Give serving, starting or draining");
    if (change.isMember("slowFactor"))
        this->slowFactor = change["slowFactor"].asDouble();
    if (change.isMember("drainGraceMs"))
        this->profile.drainGrace = { change["drainGraceMs"].asDouble() };
    if (change.isMember("snapshots"))
        this->profile.snapshots = parseSnapshots(change["snapshots"]);
    if (change.isMember("truncate"))
        this->answersToTruncate = change["truncate"].asUInt64();
    if (change.isMember("misreport")) {
        this->misreportedLoad.reset();
        if (auto const& load = change["misreport"]; !load.isNull())
            this->misreportedLoad.emplace(load["running"].asUInt(), load["queued"].asUInt());
    }
    if (change.isMember("state")) {
        this->forcedState = states.at(change["state"].asString());
        this->drainStartedAt = Clock::now();
        this->recordState(this->stateName());
    }
    if (change.isMember("stall")) {
        if (change["stall"].asBool())
            this->stalled = true;
        else
            this->endStall();
    }
    if (change.isMember("crash")) {
        if (change["crash"].asBool())
            this->crash();
        else
            this->restart();
    }
}

Json::Value TargetStandIn::describe() const
{
    Json::Value result;
    result["state"] = std::string(this->stateName());
    result["started"] = static_cast<Json::UInt64>(this->counters.started);
    result["completed"] = static_cast<Json::UInt64>(this->counters.completed);
    result["cancelled"] = static_cast<Json::UInt64>(this->counters.cancelled);
    result["shed"] = static_cast<Json::UInt64>(this->counters.shed);
    result["expired"] = static_cast<Json::UInt64>(this->counters.expired);
    result["gone"] = static_cast<Json::UInt64>(this->counters.snapshotUnavailable);
    result["running"] = static_cast<Json::UInt64>(this->running.size());
    result["queued"] = static_cast<Json::UInt64>(this->queue.size());
    result["slotsPeak"] = static_cast<Json::UInt64>(this->counters.slotsPeak);
    result["connections"]["now"] = static_cast<Json::UInt64>(this->sessions.size());
    result["connections"]["peak"] = static_cast<Json::UInt64>(this->counters.connectionsPeak);
    result["connections"]["refused"] = static_cast<Json::UInt64>(this->counters.connectionsRefused);
    return result;
}

} // namespace Toucan::Bench
