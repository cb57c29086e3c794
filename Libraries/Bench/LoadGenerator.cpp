#include "Bench/LoadGenerator.h"

#include "Base/Error.h"
#include "Base/Hash.h"
#include "Base/Json.h"

#include <Poco/Exception.h>
#include <Poco/Format.h>
#include <algorithm>
#include <set>

namespace Toucan::Bench {

static constexpr Milliseconds readinessInterval = 500_ms;
static constexpr Milliseconds readinessTimeout = 400_ms;
// Lets the first readiness polls end before the first arrival.
static constexpr Milliseconds startDelay = 500_ms;
static constexpr int statusOk = 200;
// Number of distinct records that commands name.
static constexpr uint64_t recordCount = 100000;

LoadGenerator::LoadGenerator(BenchLoop& loop, LoadSettings loadSettings, std::vector<Arrival> arrivals)
    : loop(loop)
    , settings(std::move(loadSettings))
    , arrivals(std::move(arrivals))
    , history(this->settings.history)
    , loadReport(std::max(this->settings.duration - this->settings.warmup, 1_ms), this->settings.objective)
    , random(hash64("load", this->settings.seed))
{
    try {
        for (auto const& node : this->settings.nodes) {
            Node entry;
            entry.name = node.name;
            entry.requestConnections
                = std::make_unique<HttpConnectionPool>(loop, node.address, this->settings.connections);
            if (!node.admin.empty())
                entry.adminConnections = std::make_unique<HttpConnectionPool>(loop, node.admin, 1);
            this->nodes.push_back(std::move(entry));
        }
    } catch (Poco::Exception const& exception) {
        throw Error(ErrorKind::InvalidSettings, "Bad address of a node: " + exception.displayText(),
            "Give an IP address and a port");
    }
}

void LoadGenerator::start()
{
    for (auto& node : this->nodes) {
        if (node.adminConnections)
            this->pollReadiness(node);
    }
    this->startedAt = Clock::now() + startDelay;
    this->scheduleNext();
}

void LoadGenerator::pollReadiness(Node& node)
{
    node.adminConnections->call(writeRequest("GET", "/ready", node.adminConnections->address(), {}, ""),
        readinessTimeout, [this, &node](auto&& response, CallFailure) {
            node.ready = response && response->header->getStatus() == statusOk;
            // A load balancer closes its idle connections to a node that is not ready.
            if (!node.ready)
                node.requestConnections->closeIdle();
            this->loop.schedule(Clock::now() + readinessInterval, [this, &node] { this->pollReadiness(node); });
        });
}

void LoadGenerator::scheduleNext()
{
    if (this->nextArrival == this->arrivals.size())
        return this->stopWhenDone();
    this->loop.schedule(this->startedAt + this->arrivals[this->nextArrival].at, [this] { this->sendDueArrivals(); });
}

void LoadGenerator::sendDueArrivals()
{
    auto const now = Clock::now();
    while (this->nextArrival < this->arrivals.size() && this->startedAt + this->arrivals[this->nextArrival].at <= now) {
        auto const& arrival = this->arrivals[this->nextArrival];
        ++this->nextArrival;
        auto const key = arrival.kind == LoadKind::Command ? this->createUuid() : std::string();
        auto& node = this->chooseNode(nullptr);
        this->send(arrival, node, key);
        if (arrival.duplicated)
            this->send(arrival, this->chooseNode(&node), key);
    }
    this->scheduleNext();
}

LoadGenerator::Node& LoadGenerator::chooseNode(Node const* excluded)
{
    std::vector<Node*> candidates;
    for (auto& node : this->nodes) {
        if (node.ready && &node != excluded)
            candidates.push_back(&node);
    }
    // Without a ready node the request is sent to the first one, so that the report counts the failure.
    if (candidates.empty())
        candidates.push_back(&this->nodes.front());
    return *candidates[std::uniform_int_distribution<size_t>(0, candidates.size() - 1)(this->random)];
}

/// UUIDv7, RFC 9562, section 5.7.
std::string LoadGenerator::createUuid()
{
    auto const time = static_cast<uint64_t>(Clock::wallClock().value);
    auto const bits = this->random();
    auto const tail = this->random();
    return Poco::format("%08x-%04x-7%03x-%04x-%04x%08x", static_cast<unsigned>(time >> 16),
        static_cast<unsigned>(time & 0xffff), static_cast<unsigned>(bits & 0xfff),
        static_cast<unsigned>(0x8000 | (bits >> 12 & 0x3fff)), static_cast<unsigned>(tail >> 32 & 0xffff),
        static_cast<unsigned>(tail & 0xffffffff));
}

void LoadGenerator::send(Arrival const& arrival, Node& node, std::string const& key)
{
    Request request;
    request.requestId = this->createUuid();
    request.requestKey = key;
    request.service = arrival.service;
    request.node = node.name;
    request.kind = arrival.kind;
    request.scheduled = this->startedAt + arrival.at;
    request.wallClock = Clock::wallClock() - (Clock::now() - request.scheduled);
    request.measured = arrival.at >= this->settings.warmup;
    HttpFields fields { { "Toucan-Request-Id", request.requestId } };
    if (!key.empty())
        fields.emplace_back("Toucan-Request-Key", key);
    if (!arrival.priority.empty())
        fields.emplace_back("Toucan-Priority", arrival.priority);
    if (arrival.deadline > 0_ms)
        fields.emplace_back("Toucan-Deadline-Ms", std::to_string(static_cast<uint64_t>(arrival.deadline.value)));
    Json::Value body;
    body["text"] = "carrot";
    if (arrival.kind == LoadKind::Command)
        body["record"] = "record-" + std::to_string(hash64(key) % recordCount);
    auto const path = "/v1/services/" + arrival.service + (arrival.kind == LoadKind::Command ? "/command" : "/query");
    ++this->unansweredRequests;
    node.requestConnections->call(
        writeRequest("POST", path, node.requestConnections->address(), fields, writeJson(body)), this->settings.timeout,
        [this, request](auto&& response, CallFailure failure) {
            this->onAnswer(request, std::forward<decltype(response)>(response), failure);
        });
}

/// Distinct values of a member over all hits, as a JSON array.
static Json::Value distinctValues(Json::Value const& hits, char const* member)
{
    std::set<std::string> found;
    for (auto const& hit : hits) {
        if (hit.isObject() && hit[member].isString())
            found.insert(hit[member].asString());
    }
    Json::Value result(Json::arrayValue);
    for (auto const& value : found)
        result.append(value);
    return result;
}

void LoadGenerator::onAnswer(Request const& request, std::optional<HttpResponse>&& response, CallFailure failure)
{
    auto const latency = Clock::now() - request.scheduled;
    Json::Value body;
    if (response) {
        try {
            body = parseJson(response->body);
        } catch (Error const&) {
            failure = CallFailure::BadAnswer;
        }
        if (!body.isObject())
            body = Json::Value(Json::objectValue);
    }
    LoadSample sample;
    sample.service = request.service;
    sample.status = failure == CallFailure::None ? static_cast<int>(response->header->getStatus()) : 0;
    sample.outcome = failure == CallFailure::ConnectFailed ? "not-sent" : body.get("outcome", "unknown").asString();
    sample.latency = latency;
    auto const& coverage = body["coverage"];
    // An error answer may state a coverage, but gives the caller no results.
    if (auto const shards = sample.status == statusOk && coverage.isObject() ? coverage["shards"].asDouble() : 0;
        shards > 0)
        sample.coverage = coverage["merged"].asDouble() / shards;
    if (request.measured)
        this->loadReport.add(sample);

    Json::Value line;
    line["time"] = static_cast<Json::Int64>(request.wallClock.value);
    line["kind"] = request.kind == LoadKind::Command ? "command" : "query";
    line["requestId"] = request.requestId;
    line["requestKey"] = request.requestKey;
    line["service"] = request.service;
    line["node"] = request.node;
    line["status"] = sample.status;
    line["failure"] = std::string(toString(failure));
    line["outcome"] = sample.outcome;
    line["problem"] = body["type"];
    line["answeredRequestId"] = body["requestId"];
    line["snapshot"] = body["snapshot"];
    line["coverage"] = coverage;
    line["hits"] = distinctValues(body["hits"], "id");
    line["hitRequestIds"] = distinctValues(body["hits"], "requestId");
    line["hitRequestKeys"] = distinctValues(body["hits"], "requestKey");
    line["latencyMs"] = latency.value;
    this->history.write(line);
    --this->unansweredRequests;
    this->stopWhenDone();
}

void LoadGenerator::stopWhenDone()
{
    if (this->unansweredRequests || this->nextArrival < this->arrivals.size())
        return;
    this->history.flush();
    this->loop.stop();
}

} // namespace Toucan::Bench
