#include "Engine/NodeCore.h"

#include "Base/Error.h"
#include "Engine/FrameCodec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Toucan {

/// Interval between reads of the ownership table and the VM list until the first success.
static constexpr auto initialReadInterval = 500_ms;
/// After this time a new node is ready even if some key range has no known owner, for example during a store outage.
static constexpr auto ownershipTimeout = 3'000_ms;
static constexpr auto vmListInterval = 2'000_ms;
/// Time after announcing that this node leaves in which peers may still send parts.
static constexpr auto leaveGracePeriod = 1'000_ms;

static std::string attemptPrefixOf(NodeEngine::Identity const& identity)
{
    return identity.name + '/' + std::to_string(identity.incarnation);
}

static Peer peerOf(NodeEngine::Identity const& identity)
{
    return { identity.name, identity.peerAddress, identity.failureDomain, identity.incarnation, PeerState::Alive };
}

NodeCore::NodeCore(
    NodeEngine::Hooks engineHooks, NodeEngine::Identity nodeIdentity, std::vector<Peer> const& seeds, Milliseconds now)
    : hooks(std::move(engineHooks))
    , identity(std::move(nodeIdentity))
    , currentTime(now)
    , coordinator(this->coordinatorHooks(), attemptPrefixOf(this->identity))
    , dispatcher(this->dispatcherHooks(), this->identity.name)
    , keyOwner(this->keyOwnerHooks(), this->identity.name, this->identity.incarnation)
    , membership(this->membershipHooks(), peerOf(this->identity))
    , configurationState(this->configurationHooks(), this->identity.name)
    , partRouter(this->partRouterHooks(), this->identity.name)
    , commandRouter(this->commandRouterHooks(), this->identity.name)
    , digestExchange(this->digestHooks())
{
    this->membership.seed(seeds, now);
}

Peer NodeCore::selfAsPeer() const
{
    auto self = peerOf(this->identity);
    if (this->stopping)
        self.state = PeerState::Leaving;
    return self;
}

void NodeCore::sendFrame(std::string const& peer, Json::Value&& frame)
{
    auto const* knownPeer = this->membership.find(peer);
    if (!knownPeer || knownPeer->address.empty())
        return;
    frame["from"] = this->identity.name;
    // Every frame carries this node's address and incarnation, so that peers need not wait for a digest.
    if (!frame.isMember("self"))
        frame["self"] = FrameCodec::encodePeer(this->selfAsPeer());
    this->hooks.sendFrame(peer, knownPeer->address, std::move(frame));
}

void NodeCore::install(ConfigurationPointer const& configuration)
{
    if (!this->configuredSince)
        this->configuredSince = this->currentTime;
    this->partRouter.setConfiguration(configuration);
    this->dispatcher.setConfiguration(configuration, this->currentTime);
    this->coordinator.setConfiguration(configuration, this->currentTime);
    this->keyOwner.setConfiguration(configuration, this->currentTime);
}

std::string NodeCore::likelyOwner(std::string_view key) const
{
    if (auto owner = this->keyOwner.ownerOf(key); !owner.empty())
        return owner;
    auto const& configuration = this->configurationState.current();
    if (!configuration)
        return {};
    auto const& records = this->keyOwner.records();
    auto const found = records.find(keyRange(key, configuration->fleet.keyRanges));
    return found == records.end() ? std::string() : found->second.owner;
}

void NodeCore::answer(CallerAnswer&& callerAnswer)
{
    if (auto const& configuration = this->configurationState.current()) {
        if (auto const* service = configuration->service(callerAnswer.service)) {
            this->requestMetrics.record(
                callerAnswer.service, callerAnswer.status, callerAnswer.outcome, callerAnswer.totalTime);
            auto const& objective = configuration->ruleOf(*service).objective;
            auto const good = callerAnswer.status == 200 && callerAnswer.coverage.isComplete()
                && callerAnswer.totalTime <= objective.latency;
            // Errors of the caller (400 and 409) do not count against the service's objective.
            if (callerAnswer.status != 400 && callerAnswer.status != 409)
                this->burnTracker.record(callerAnswer.service, good, this->currentTime);
        }
    }
    this->hooks.answerCaller(std::move(callerAnswer));
}

void NodeCore::rejectRequest(CallerRequest const& request, int status, Problem&& problem)
{
    CallerAnswer rejection;
    rejection.handle = request.handle;
    rejection.requestId = request.requestId;
    rejection.service = request.service;
    rejection.status = status;
    rejection.outcome = request.idempotence == Idempotence::Idempotent || status == 400 || status == 404
        ? Outcome::NotRun
        : Outcome::Unknown;
    rejection.problem = std::move(problem);
    this->answer(std::move(rejection));
}

void NodeCore::onCallerRequest(CallerRequest&& request, Milliseconds now)
{
    auto const& configuration = this->configurationState.current();
    if (!configuration) {
        this->rejectRequest(request, 503,
            { "not-ready", "No configuration yet", "This node has not received a configuration",
                "Send the request to another node, or try again in a second" });
        return;
    }
    if (!configuration->service(request.service)) {
        this->rejectRequest(request, 404,
            { "unknown-service", "Unknown service", "No service is named \"" + request.service + '"',
                "Check the service name against the output of tgctl view" });
        return;
    }
    if (!request.priority.empty()
        && std::ranges::find(configuration->classes, request.priority) == configuration->classes.end()) {
        this->rejectRequest(request, 400,
            { "unknown-priority", "Unknown priority", "No priority class is named \"" + request.priority + '"',
                "Send a class of the configuration, or leave out Toucan-Priority" });
        return;
    }
    if (request.idempotence == Idempotence::Idempotent) {
        this->coordinator.startQuery(std::move(request), now);
        return;
    }
    if (!requestKeyTime(request.requestKey)) {
        this->rejectRequest(request, 400,
            { "invalid-request-key", "Invalid request key", "Toucan-Request-Key is not a UUIDv7 (RFC 9562)",
                "Make one UUIDv7 for each logical request and repeat it on retries" });
        return;
    }
    this->commandRouter.start(std::move(request), *configuration, now);
}

void NodeCore::refuse(std::string const& sender, PartRequest const& part, PartStatus status)
{
    this->deliverResult(sender, resultWithoutAnswer(part, status));
}

void NodeCore::submitParts(std::string const& sender, std::vector<PartRequest>&& parts, Milliseconds now)
{
    for (auto& part : parts) {
        // Only candidates dial a target; a sender with another configuration must not make this node exceed the
        // target's connection limit.
        if (!this->partRouter.isDispatcherCandidate(part.service, part.target))
            this->refuse(sender, part, PartStatus::NoDispatcher);
        else
            this->dispatcher.submit(sender, std::move(part), now);
    }
}

void NodeCore::deliverResult(std::string const& sender, PartResult&& result)
{
    if (sender != this->identity.name) {
        this->outgoingResults[sender].push_back(std::move(result));
        return;
    }
    this->deferred.emplace_back([this, result = std::move(result)]() mutable {
        this->coordinator.onPartResult(std::move(result), this->currentTime);
    });
}

void NodeCore::replyCommandResult(std::string const& sender, CommandResult&& result)
{
    auto const separator = sender.rfind('|');
    auto const node = sender.substr(0, separator);
    auto const correlation = sender.substr(separator + 1);
    if (node == this->identity.name) {
        this->commandRouter.onCommandResult(correlation, std::move(result), this->currentTime);
        return;
    }
    auto frame = FrameCodec::encodeCommandResult(result);
    frame["correlation"] = correlation;
    this->sendFrame(node, std::move(frame));
}

void NodeCore::onFrame(Json::Value const& frame, Milliseconds now)
{
    try {
        auto const from = frame["from"].asString();
        if (from.empty() || from == this->identity.name)
            return;
        if (frame.isMember("self")) {
            auto const peer = FrameCodec::decodePeer(frame["self"]);
            if (peer.name == from)
                this->membership.onPeerMessage(peer, now);
        }
        this->configurationState.onPeerMessage(now);
        this->dispatchFrame(frame["kind"].asString(), from, frame, now);
    } catch (Error const&) {
        ++this->invalidFrames;
    } catch (Json::Exception const&) {
        ++this->invalidFrames;
    }
}

void NodeCore::dispatchFrame(
    std::string const& kind, std::string const& from, Json::Value const& frame, Milliseconds now)
{
    if (kind == "parts") {
        this->submitParts(from, FrameCodec::decodeParts(frame), now);
    } else if (kind == "results") {
        for (auto& result : FrameCodec::decodeResults(frame))
            this->partRouter.onPeerResult(from, std::move(result));
    } else if (kind == "cancel") {
        for (auto const& attempt : frame["attempts"])
            this->dispatcher.cancel(attempt.asString(), now);
    } else if (kind == "command") {
        this->keyOwner.submit(from + '|' + frame["correlation"].asString(), FrameCodec::decodeCommand(frame), now);
    } else if (kind == "commandResult") {
        this->commandRouter.onCommandResult(
            frame["correlation"].asString(), FrameCodec::decodeCommandResult(frame), now);
    } else if (kind == "digest") {
        this->digestExchange.receive(from, frame, now);
    } else if (kind == "fetch") {
        std::vector<std::string> knownHashes;
        for (auto const& hash : frame["known"])
            knownHashes.push_back(hash.asString());
        if (this->configurationState.version() > 0)
            this->sendFrame(
                from, FrameCodec::encodeConfigurationUpdate(this->configurationState.answerFetch(knownHashes)));
    } else if (kind == "fetched") {
        this->configurationState.onUpdate(FrameCodec::decodeConfigurationUpdate(frame), now);
    } else if (kind == "probe") {
        this->onProbe(from, frame, now);
    } else if (kind == "probed") {
        this->onProbeReply(from, frame, now);
    } else {
        ++this->unknownFrames;
    }
}

void NodeCore::onProbe(std::string const& from, Json::Value const& frame, Milliseconds now)
{
    auto const subject = frame["subject"].asString();
    if (subject.empty() || subject == this->identity.name) {
        Json::Value reply;
        reply["kind"] = "probed";
        reply["peer"] = this->identity.name;
        reply["number"] = frame["number"];
        this->sendFrame(from, std::move(reply));
        return;
    }
    // Numbers of forwarded probes have the highest bit set; the numbers of Membership never get that high.
    auto const number = (uint64_t { 1 } << 63U) | ++this->lastIndirectProbe;
    this->indirectProbes[number] = { from, subject, frame["number"].asUInt64(), now };
    Json::Value probe;
    probe["kind"] = "probe";
    probe["number"] = static_cast<Json::UInt64>(number);
    this->sendFrame(subject, std::move(probe));
}

void NodeCore::onProbeReply(std::string const& from, Json::Value const& frame, Milliseconds now)
{
    auto const number = frame["number"].asUInt64();
    auto const found = this->indirectProbes.find(number);
    if (found == this->indirectProbes.end()) {
        this->membership.onProbeAnswer(frame["peer"].asString(), number, now);
        return;
    }
    auto const probe = found->second;
    this->indirectProbes.erase(found);
    if (probe.subject != from)
        return;
    Json::Value reply;
    reply["kind"] = "probed";
    reply["peer"] = probe.subject;
    reply["number"] = static_cast<Json::UInt64>(probe.number);
    this->sendFrame(probe.requester, std::move(reply));
}

void NodeCore::onPeerConnectionLost(std::string const& peer, Milliseconds now)
{
    this->membership.onConnectionLost(peer, now);
    this->partRouter.onPeerLost(peer);
    this->commandRouter.onPeerLost(peer, now);
    this->outgoingResults.erase(peer);
    this->dispatcher.dropPartsFrom(peer, now);
}

void NodeCore::onTargetLeaving(std::string const& target)
{
    this->dispatcher.onTargetStatus(target, TargetState::Draining, {}, this->currentTime);
    this->coordinator.setTargetState(target, TargetState::Draining, this->currentTime);
}

void NodeCore::onVmList(std::vector<VmEntry> const& vms, Milliseconds now)
{
    auto const& configuration = this->configurationState.current();
    std::set<std::string> targets;
    if (configuration) {
        for (auto const& [name, service] : configuration->services) {
            for (auto const& [target, definition] : service.targets)
                targets.insert(target);
        }
    }
    std::vector<VmEntry> nodes;
    std::vector<std::string> leaving;
    for (auto const& vm : vms) {
        if (!targets.contains(vm.name))
            nodes.push_back(vm);
        else if (vm.state == VmEntry::State::Leaving)
            leaving.push_back(vm.name);
    }
    std::erase_if(nodes, [this](VmEntry const& vm) { return vm.name == this->identity.name; });
    this->membership.onVmList(nodes, now);
    this->digestExchange.setLeavingTargets(leaving, now);
}

/// Sends claims and releases to all peers at once: the successor claims the range when it receives the release, and
/// commands wait at the previous owner until it receives the claim. Both are rare; extensions are frequent and are not
/// sent.
void NodeCore::onOwnershipWritten(StoreReply&& reply, Milliseconds now)
{
    auto const& records = this->keyOwner.records();
    auto const found = records.find(reply.range);
    auto const before = found == records.end() ? std::nullopt : std::optional(found->second);
    this->keyOwner.onWriteResult(reply.range, reply.writeResult, reply.current, now);
    if (reply.writeResult != KeyOwner::WriteResult::Accepted || !reply.current)
        return;
    auto const& current = *reply.current;
    auto const extended = before && before->owner == current.owner && before->incarnation == current.incarnation
        && before->from == current.from && before->until < current.until;
    if (extended)
        return;
    for (auto const& peer : this->membership.peers()) {
        if (this->membership.usable(peer.name))
            this->digestExchange.sendRecord(peer.name, current);
    }
}

void NodeCore::onStoreReply(StoreReply&& reply, Milliseconds now)
{
    switch (reply.kind) {
    case StoreRequest::Kind::ReadConfiguration:
        if (reply.update)
            this->configurationState.onUpdate(std::move(*reply.update), now);
        this->configurationState.onStoreRead(reply.reachable, now);
        break;
    case StoreRequest::Kind::ReadOwnership:
        this->hasReadOwnership = this->hasReadOwnership || reply.reachable;
        for (auto const& record : reply.records)
            this->keyOwner.onRecord(record, now);
        break;
    case StoreRequest::Kind::WriteOwnership:
        this->onOwnershipWritten(std::move(reply), now);
        break;
    case StoreRequest::Kind::ReadVmList:
        if (!reply.reachable)
            break;
        this->hasReadVmList = true;
        this->onVmList(reply.vms, now);
        break;
    }
}

void NodeCore::requestRead(StoreRequest::Kind kind)
{
    StoreRequest storeRequest;
    storeRequest.kind = kind;
    this->hooks.requestStore(std::move(storeRequest));
}

void NodeCore::readPlatform(Milliseconds now)
{
    if (!this->hasReadOwnership && this->nextOwnershipRead <= now) {
        this->nextOwnershipRead = now + initialReadInterval;
        this->requestRead(StoreRequest::Kind::ReadOwnership);
    }
    // Only watchers keep reading the list, so that the number of calls does not grow with the fleet.
    if ((!this->hasReadVmList || this->watching) && this->nextVmListRead <= now) {
        this->nextVmListRead = now + (this->hasReadVmList ? vmListInterval : initialReadInterval);
        this->requestRead(StoreRequest::Kind::ReadVmList);
    }
}

void NodeCore::beginStop(Milliseconds now)
{
    this->stopping = true;
    this->stopStarted = now;
    this->keyOwner.release(now);
    this->membership.markSelfLeaving(now);
    for (auto const& peer : this->membership.peers()) {
        if (this->membership.usable(peer.name))
            this->digestExchange.send(peer.name, now);
    }
}

bool NodeCore::finished() const
{
    return this->stopping && this->currentTime >= this->stopStarted + leaveGracePeriod
        && this->coordinator.running() == 0 && this->dispatcher.running() == 0 && this->commandRouter.running() == 0
        && this->keyOwner.isReleaseFinished();
}

bool NodeCore::ready(Milliseconds now) const
{
    return !this->stopping && this->configurationState.ready(now) && this->isOwnershipReady(now);
}

bool NodeCore::isOwnershipReady(Milliseconds now) const
{
    if (this->configuredSince && now - *this->configuredSince > ownershipTimeout)
        return true;
    auto const& configuration = this->configurationState.current();
    return configuration && this->keyOwner.records().size() >= configuration->fleet.keyRanges;
}

void NodeCore::advance(Milliseconds now)
{
    this->readPlatform(now);
    this->membership.advance(now);
    this->configurationState.advance(now);
    this->keyOwner.advance(now, this->hooks.wallClock());
    this->commandRouter.advance(now);
    this->dispatcher.advance(now);
    this->coordinator.advance(now);
    std::erase_if(this->indirectProbes, [now](auto const& entry) { return entry.second.sent + 1'000_ms < now; });
}

Milliseconds NodeCore::nextWakeup() const
{
    auto next = std::min({ this->coordinator.nextWakeup(), this->dispatcher.nextWakeup(), this->keyOwner.nextWakeup(),
        this->membership.nextWakeup(), this->configurationState.nextWakeup(), this->commandRouter.nextWakeup() });
    if (!this->hasReadOwnership)
        next = std::min(next, this->nextOwnershipRead);
    if (!this->hasReadVmList || this->watching)
        next = std::min(next, this->nextVmListRead);
    return next;
}

void NodeCore::finishEvent(Milliseconds now)
{
    this->currentTime = std::max(this->currentTime, now);
    while (!this->deferred.empty()) {
        auto const call = std::move(this->deferred.front());
        this->deferred.pop_front();
        call();
    }
    this->partRouter.flush();
    for (auto const& [peer, results] : std::exchange(this->outgoingResults, {}))
        this->sendFrame(peer, FrameCodec::encodeResults(results));
}

static char const* toString(PeerState state)
{
    switch (state) {
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspect:
        return "suspect";
    case PeerState::Dead:
        return "dead";
    case PeerState::Leaving:
        return "leaving";
    case PeerState::Unknown:
        break;
    }
    return "unknown";
}

Json::Value NodeCore::describe(Milliseconds now) const
{
    Json::Value view;
    view["name"] = this->identity.name;
    view["failureDomain"] = this->identity.failureDomain;
    view["incarnation"] = static_cast<Json::UInt64>(this->identity.incarnation);
    view["ready"] = this->ready(now);
    view["stopping"] = this->stopping;
    view["watching"] = this->watching;
    view["configuration"]["version"] = static_cast<Json::UInt64>(this->configurationState.version());
    if (auto const& configuration = this->configurationState.current())
        view["configuration"]["changeId"] = configuration->changeId;
    view["coordinator"] = this->coordinator.describe(now);
    // Operators and metrics know the dispatcher under the name "carrier".
    view["carrier"] = this->dispatcher.describe(now);
    view["keyOwner"] = this->keyOwner.describe();
    view["commandsPending"] = static_cast<Json::UInt64>(this->commandRouter.running());
    for (auto const& peer : this->membership.peers()) {
        auto& entry = view["members"][peer.name];
        entry["address"] = peer.address;
        entry["state"] = toString(peer.state);
        entry["incarnation"] = static_cast<Json::UInt64>(peer.incarnation);
    }
    view["requests"] = this->requestMetrics.describe();
    view["frames"]["invalid"] = static_cast<Json::UInt64>(this->invalidFrames);
    view["frames"]["unknown"] = static_cast<Json::UInt64>(this->unknownFrames);
    view["frames"]["lateResults"] = static_cast<Json::UInt64>(this->partRouter.lateResults());
    return view;
}

} // namespace Toucan
