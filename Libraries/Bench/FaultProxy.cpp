#include "Bench/FaultProxy.h"

#include "Base/Error.h"
#include "Base/Hash.h"
#include "Base/Json.h"

#include <Poco/Exception.h>
#include <algorithm>

namespace Toucan::Bench {

// An answer held for reordering is sent unchanged when no answer has arrived on another connection within this time.
static constexpr Milliseconds reorderTimeout = 50_ms;
static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
static constexpr int statusNotFound = 404;
static constexpr std::string_view routeControlPath = "/control/routes/";
static constexpr std::string_view httpVersionPrefix = "HTTP/1.";

static double readProbability(Json::Value const& settings, char const* name)
{
    auto const probability = settings.get(name, 0).asDouble();
    if (probability < 0 || probability > 1)
        throw Error(ErrorKind::InvalidInput, std::string(name) + " is out of range", "Give a share from 0 to 1");
    return probability;
}

FaultSet FaultSet::parse(Json::Value const& settings)
{
    static std::set<std::string> const known { "delayMs", "jitterMs", "cut", "blackhole", "stall", "truncateAfter",
        "duplicate", "reorder" };
    static std::set<std::string> const blackholes { "none", "toTarget", "toCaller", "both" };
    for (auto const& name : settings.getMemberNames()) {
        if (!known.contains(name))
            throw Error(ErrorKind::InvalidInput, "Unknown fault " + name, "Use the members of FaultSet");
    }
    FaultSet faults;
    faults.delay = { settings.get("delayMs", 0).asDouble() };
    faults.jitter = { settings.get("jitterMs", 0).asDouble() };
    faults.cut = settings.get("cut", false).asBool();
    faults.stall = settings.get("stall", false).asBool();
    auto const blackhole = settings.get("blackhole", "none").asString();
    if (!blackholes.contains(blackhole))
        throw Error(ErrorKind::InvalidInput, "Unknown blackhole " + blackhole, "Give none, toTarget, toCaller or both");
    faults.blackholeToTarget = blackhole == "toTarget" || blackhole == "both";
    faults.blackholeToCaller = blackhole == "toCaller" || blackhole == "both";
    if (settings.isMember("truncateAfter"))
        faults.truncateAfter = settings["truncateAfter"].asUInt64();
    faults.duplicate = readProbability(settings, "duplicate");
    faults.reorder = readProbability(settings, "reorder");
    return faults;
}

ProxyRoute::ProxyRoute(BenchLoop& loop, std::string listen, std::string const& target, uint64_t seed)
    : loop(loop)
    , listenAddress(std::move(listen))
    , target(target)
    , random(hash64(target, seed))
{
    this->listen();
}

ProxyRoute::~ProxyRoute()
{
    for (auto const& connection : std::set<ConnectionPointer>(this->connections))
        this->reset(connection);
}

void ProxyRoute::listen()
{
    this->listener = std::make_unique<StreamListener>(
        this->loop, this->listenAddress, [this](auto const& callerStream) { this->onAccepted(callerStream); });
}

void ProxyRoute::onAccepted(std::shared_ptr<StreamSession> const& callerStream)
{
    std::shared_ptr<StreamSession> targetStream;
    try {
        targetStream = StreamSession::connect(this->loop, this->target);
    } catch (Error const&) {
        ++this->counters.reset;
        return callerStream->reset();
    }
    ++this->counters.accepted;
    auto const connection = std::make_shared<Connection>();
    connection->toTarget = { callerStream, targetStream, {}, {}, 0 };
    connection->toCaller = { targetStream, callerStream, {}, {}, 0 };
    this->connections.insert(connection);
    callerStream->setHooks({ [this, connection] { this->onReceived(connection, Direction::ToTarget); },
        [this, connection] { this->onClosed(connection, Direction::ToTarget); } });
    targetStream->setHooks({ [this, connection] { this->onReceived(connection, Direction::ToCaller); },
        [this, connection] { this->onClosed(connection, Direction::ToCaller); } });
    this->applyStall(connection);
}

void ProxyRoute::onReceived(ConnectionPointer const& connection, Direction direction)
{
    if (direction == Direction::ToCaller)
        return this->onAnswerBytes(connection);
    this->forward(connection, direction, std::exchange(connection->toTarget.from->input(), {}), false);
}

void ProxyRoute::onAnswerBytes(ConnectionPointer const& connection)
{
    auto& input = connection->toCaller.from->input();
    if (connection->framing == Framing::Unknown) {
        if (input.size() < httpVersionPrefix.size() && httpVersionPrefix.starts_with(input))
            return;
        connection->framing = input.starts_with(httpVersionPrefix) ? Framing::Http : Framing::Raw;
    }
    try {
        while (connection->framing == Framing::Http) {
            auto bytes = takeResponseBytes(input);
            if (!bytes)
                return;
            this->onCompleteAnswer(connection, std::move(*bytes));
        }
    } catch (Error const&) {
        // A stream without Content-Length, such as a watch of the key-value store, is forwarded unparsed.
        connection->framing = Framing::Raw;
    }
    this->forward(connection, Direction::ToCaller, std::exchange(input, {}), false);
}

bool ProxyRoute::drawWithProbability(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

void ProxyRoute::onCompleteAnswer(ConnectionPointer const& connection, std::string bytes)
{
    if (this->heldAnswer && this->heldAnswer->connection != connection) {
        auto const held = std::move(*this->heldAnswer);
        this->heldAnswer.reset();
        this->loop.cancel(held.timer);
        ++this->counters.reordered;
        this->forward(held.connection, Direction::ToCaller, std::move(bytes), false);
        this->forward(connection, Direction::ToCaller, held.bytes, false);
        return;
    }
    if (!this->heldAnswer && this->drawWithProbability(this->faults.reorder)) {
        auto const timer = this->loop.schedule(Clock::now() + reorderTimeout, [this] { this->releaseHeldAnswer(); });
        this->heldAnswer = HeldAnswer { connection, std::move(bytes), timer };
        return;
    }
    // Answers of one connection keep their order, so the held one is sent first.
    this->releaseHeldAnswer();
    if (this->drawWithProbability(this->faults.duplicate)) {
        ++this->counters.duplicated;
        bytes += std::string(bytes);
    }
    this->forward(connection, Direction::ToCaller, std::move(bytes), false);
}

void ProxyRoute::releaseHeldAnswer()
{
    if (!this->heldAnswer)
        return;
    auto const held = std::move(*this->heldAnswer);
    this->heldAnswer.reset();
    this->loop.cancel(held.timer);
    this->forward(held.connection, Direction::ToCaller, held.bytes, false);
}

void ProxyRoute::onClosed(ConnectionPointer const& connection, Direction direction)
{
    if (this->heldAnswer && this->heldAnswer->connection == connection)
        this->releaseHeldAnswer();
    auto rest = std::exchange(pipeOf(*connection, direction).from->input(), {});
    this->forward(connection, direction, std::move(rest), true);
}

void ProxyRoute::forward(ConnectionPointer const& connection, Direction direction, std::string bytes, bool last)
{
    auto& pipe = pipeOf(*connection, direction);
    auto const lost
        = direction == Direction::ToTarget ? this->faults.blackholeToTarget : this->faults.blackholeToCaller;
    if (lost && (last || !bytes.empty())) {
        this->counters.bytesLost += bytes.size();
        connection->lostBytes = true;
        return;
    }
    auto const now = Clock::now();
    auto releaseAt = now + this->faults.delay;
    if (this->faults.jitter > 0_ms)
        releaseAt += this->faults.jitter * std::uniform_real_distribution<double>(0, 1)(this->random);
    Chunk chunk { std::max(releaseAt, pipe.lastRelease), std::move(bytes), last };
    if (pipe.held.empty() && chunk.releaseAt <= now)
        return this->deliver(connection, direction, chunk);
    pipe.lastRelease = chunk.releaseAt;
    this->loop.schedule(
        chunk.releaseAt, [this, connection, direction] { this->releaseDueChunks(connection, direction); });
    pipe.held.push_back(std::move(chunk));
}

void ProxyRoute::releaseDueChunks(ConnectionPointer const& connection, Direction direction)
{
    auto& held = pipeOf(*connection, direction).held;
    auto const now = Clock::now();
    while (!held.empty() && held.front().releaseAt <= now) {
        auto const chunk = std::move(held.front());
        held.pop_front();
        this->deliver(connection, direction, chunk);
    }
}

void ProxyRoute::deliver(ConnectionPointer const& connection, Direction direction, Chunk const& chunk)
{
    auto& pipe = pipeOf(*connection, direction);
    auto bytes = std::string_view(chunk.bytes);
    auto truncates = false;
    if (direction == Direction::ToCaller && this->faults.truncateAfter) {
        auto const left = *this->faults.truncateAfter - std::min(pipe.sent, *this->faults.truncateAfter);
        truncates = bytes.size() > left;
        bytes = bytes.substr(0, left);
    }
    pipe.sent += bytes.size();
    (direction == Direction::ToTarget ? this->counters.bytesToTarget : this->counters.bytesToCaller) += bytes.size();
    pipe.to->send(bytes);
    if (!chunk.last && !truncates)
        return;
    this->counters.truncated += truncates ? 1 : 0;
    pipe.to->closeAfterSending();
    pipe.from->close();
    this->removeConnection(connection);
}

void ProxyRoute::reset(ConnectionPointer const& connection)
{
    ++this->counters.reset;
    connection->toTarget.from->reset();
    connection->toTarget.to->reset();
    this->removeConnection(connection);
}

void ProxyRoute::removeConnection(ConnectionPointer const& connection)
{
    if (this->heldAnswer && this->heldAnswer->connection == connection) {
        this->loop.cancel(this->heldAnswer->timer);
        this->heldAnswer.reset();
    }
    this->connections.erase(connection);
}

void ProxyRoute::applyStall(ConnectionPointer const& connection) const
{
    for (auto const& stream : { connection->toTarget.from, connection->toTarget.to }) {
        if (this->faults.stall)
            stream->pauseReading();
        else
            stream->resumeReading();
    }
}

void ProxyRoute::setFaults(FaultSet const& newFaults)
{
    auto const endsBlackhole = (this->faults.blackholeToTarget && !newFaults.blackholeToTarget)
        || (this->faults.blackholeToCaller && !newFaults.blackholeToCaller);
    this->faults = newFaults;
    for (auto const& connection : std::set<ConnectionPointer>(this->connections)) {
        connection->toCaller.sent = 0;
        // Bytes after a gap would be read as the continuation of those before it, so the connection is reset.
        if (this->faults.cut || (endsBlackhole && connection->lostBytes))
            this->reset(connection);
        else
            this->applyStall(connection);
    }
    if (this->faults.cut)
        this->listener.reset();
    else if (!this->listener)
        this->listen();
}

Json::Value ProxyRoute::describe() const
{
    Json::Value result;
    result["target"] = this->target.toString();
    result["connections"] = static_cast<Json::UInt64>(this->connections.size());
    result["accepted"] = static_cast<Json::UInt64>(this->counters.accepted);
    result["bytesToTarget"] = static_cast<Json::UInt64>(this->counters.bytesToTarget);
    result["bytesToCaller"] = static_cast<Json::UInt64>(this->counters.bytesToCaller);
    result["bytesLost"] = static_cast<Json::UInt64>(this->counters.bytesLost);
    result["truncated"] = static_cast<Json::UInt64>(this->counters.truncated);
    result["duplicated"] = static_cast<Json::UInt64>(this->counters.duplicated);
    result["reordered"] = static_cast<Json::UInt64>(this->counters.reordered);
    result["reset"] = static_cast<Json::UInt64>(this->counters.reset);
    return result;
}

FaultProxy::FaultProxy(
    BenchLoop& loop, std::string const& control, std::vector<std::string> const& routeSpecifications, uint64_t seed)
    : loop(loop)
{
    for (auto const& specification : routeSpecifications)
        this->addRoute(specification, seed);
    this->controlListener = std::make_unique<StreamListener>(loop, control, [this](auto const& stream) {
        HttpSession::Hooks hooks;
        hooks.request = [this](auto const& session, HttpRequest&& request) { this->onControl(session, request); };
        HttpSession::create(this->loop, stream, std::move(hooks), 0_ms);
    });
}

void FaultProxy::addRoute(std::string_view specification, uint64_t seed)
{
    auto const separator = specification.find('=');
    if (separator == std::string_view::npos)
        throw Error(ErrorKind::InvalidSettings, "Bad route " + std::string(specification), "Write LISTEN=TARGET");
    std::string const listen(specification.substr(0, separator));
    std::string const target(specification.substr(separator + 1));
    try {
        this->routes[listen] = std::make_unique<ProxyRoute>(this->loop, listen, target, seed);
    } catch (Poco::Exception const& exception) {
        throw Error(ErrorKind::InvalidSettings,
            "Bad route " + std::string(specification) + ": " + exception.displayText(), "Give IP addresses with ports");
    }
}

void FaultProxy::onControl(std::shared_ptr<HttpSession> const& session, HttpRequest const& request)
{
    auto const& path = request.header->getURI();
    if (request.header->getMethod() == "GET" && path == "/control") {
        Json::Value answer(Json::objectValue);
        for (auto const& [listen, route] : this->routes)
            answer[listen] = route->describe();
        return session->respond(statusOk, {}, writeJson(answer));
    }
    auto const route = path.starts_with(routeControlPath) ? this->routes.find(path.substr(routeControlPath.size()))
                                                          : this->routes.end();
    if (request.header->getMethod() != "POST" || route == this->routes.end())
        return session->respond(statusNotFound, {}, R"({"type":"not-found"})");
    try {
        route->second->setFaults(FaultSet::parse(parseJson(request.body)));
        session->respond(statusOk, {}, writeJson(route->second->describe()));
    } catch (std::exception const& exception) {
        Json::Value answer;
        answer["type"] = "bad-request";
        answer["detail"] = exception.what();
        session->respond(statusBadRequest, {}, writeJson(answer));
    }
}

} // namespace Toucan::Bench
