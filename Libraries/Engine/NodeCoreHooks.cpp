#include "Engine/FrameCodec.h"
#include "Engine/NodeCore.h"

/// Hooks through which the components of a node call each other and the network and platform threads.
namespace Toucan {

Coordinator::Hooks NodeCore::coordinatorHooks()
{
    Coordinator::Hooks result;
    result.sendPart = [this](PartRequest const& part) { this->partRouter.send(part); };
    result.cancelPart = [this](AttemptId const& attempt, std::string const&) { this->partRouter.cancel(attempt); };
    result.answer = [this](CallerAnswer&& callerAnswer) { this->answer(std::move(callerAnswer)); };
    result.commandFinished = [this](CommandResult&& commandResult) {
        this->deferred.emplace_back([this, commandResult = std::move(commandResult)]() mutable {
            this->keyOwner.onCommandFinished(std::move(commandResult), this->currentTime);
        });
    };
    result.random = this->hooks.random;
    return result;
}

Dispatcher::Hooks NodeCore::dispatcherHooks()
{
    Dispatcher::Hooks result;
    result.send = this->hooks.callTarget;
    result.cancel = this->hooks.cancelTargetCall;
    result.result
        = [this](std::string const& sender, PartResult&& part) { this->deliverResult(sender, std::move(part)); };
    result.pollStatus = this->hooks.pollTarget;
    result.limitConnections = this->hooks.limitConnections;
    result.random = this->hooks.random;
    return result;
}

KeyOwner::Hooks NodeCore::keyOwnerHooks()
{
    KeyOwner::Hooks result;
    result.write = [this](OwnershipRecord const& next, uint64_t expectedRevision) {
        StoreRequest storeRequest;
        storeRequest.kind = StoreRequest::Kind::WriteOwnership;
        storeRequest.record = next;
        storeRequest.expectedRevision = expectedRevision;
        this->hooks.requestStore(std::move(storeRequest));
    };
    result.run = [this](CommandRequest const& command) {
        this->deferred.emplace_back([this, command] { this->coordinator.startCommand(command, this->currentTime); });
    };
    result.reply = [this](std::string const& sender, CommandResult&& commandResult) {
        this->deferred.emplace_back([this, sender, commandResult = std::move(commandResult)]() mutable {
            this->replyCommandResult(sender, std::move(commandResult));
        });
    };
    result.isUsable
        = [this](std::string const& node) { return node == this->identity.name || this->membership.usable(node); };
    return result;
}

Membership::Hooks NodeCore::membershipHooks()
{
    Membership::Hooks result;
    result.sendProbe = [this](std::string const& peer, std::string const& via, uint64_t number) {
        Json::Value frame;
        frame["kind"] = "probe";
        frame["number"] = static_cast<Json::UInt64>(number);
        if (!via.empty())
            frame["subject"] = peer;
        this->sendFrame(via.empty() ? peer : via, std::move(frame));
    };
    result.stateChanged = [this](Peer const& peer) {
        this->deferred.emplace_back([this, peer] {
            if (peer.state == PeerState::Dead) {
                this->partRouter.onPeerLost(peer.name);
                this->commandRouter.onPeerLost(peer.name, this->currentTime);
                this->dispatcher.dropPartsFrom(peer.name, this->currentTime);
            }
            this->configurationState.onMembershipChanged(this->currentTime);
        });
    };
    result.random = this->hooks.random;
    return result;
}

ConfigurationState::Hooks NodeCore::configurationHooks()
{
    ConfigurationState::Hooks result;
    result.installed = [this](ConfigurationPointer const& configuration) { this->install(configuration); };
    result.sendDigests = [this](size_t count) {
        for (auto const& peer : this->membership.randomPeers(count))
            this->digestExchange.send(peer, this->currentTime);
    };
    result.sendDigest = [this](std::string const& peer) { this->digestExchange.send(peer, this->currentTime); };
    result.fetch = [this](std::string const& peer, std::vector<std::string> const& knownHashes) {
        Json::Value frame;
        frame["kind"] = "fetch";
        frame["known"] = Json::Value(Json::arrayValue);
        for (auto const& hash : knownHashes)
            frame["known"].append(hash);
        this->sendFrame(peer, std::move(frame));
    };
    result.readStore = [this](std::vector<std::string> const& knownHashes) {
        StoreRequest storeRequest;
        storeRequest.kind = StoreRequest::Kind::ReadConfiguration;
        storeRequest.knownHashes = knownHashes;
        this->hooks.requestStore(std::move(storeRequest));
    };
    result.setWatching = [this](bool on) {
        this->watching = on;
        this->hooks.setWatching(on);
    };
    result.isUsable
        = [this](std::string const& node) { return node == this->identity.name || this->membership.usable(node); };
    return result;
}

PartRouter::Hooks NodeCore::partRouterHooks()
{
    PartRouter::Hooks result;
    result.sendParts = [this](std::string const& peer, std::vector<PartRequest> const& parts) {
        this->sendFrame(peer, FrameCodec::encodeParts(parts));
    };
    result.sendCancels = [this](std::string const& peer, std::vector<AttemptId> const& attempts) {
        Json::Value frame;
        frame["kind"] = "cancel";
        for (auto const& attempt : attempts)
            frame["attempts"].append(attempt);
        this->sendFrame(peer, std::move(frame));
    };
    result.submitLocally = [this](PartRequest&& part) {
        this->deferred.emplace_back([this, part = std::move(part)]() mutable {
            std::vector<PartRequest> parts;
            parts.push_back(std::move(part));
            this->submitParts(this->identity.name, std::move(parts), this->currentTime);
        });
    };
    result.cancelLocally = [this](AttemptId const& attempt) {
        this->deferred.emplace_back([this, attempt] { this->dispatcher.cancel(attempt, this->currentTime); });
    };
    result.result = [this](PartResult&& part) {
        this->deferred.emplace_back([this, part = std::move(part)]() mutable {
            this->coordinator.onPartResult(std::move(part), this->currentTime);
        });
    };
    result.isUsable = [this](std::string const& node) { return this->membership.usable(node); };
    result.isDialDelayed = [this](std::string const& address, std::string const& node) {
        return this->dispatcher.isDialDelayed(address, node, this->currentTime);
    };
    return result;
}

CommandRouter::Hooks NodeCore::commandRouterHooks()
{
    CommandRouter::Hooks result;
    result.forward = [this](std::string const& peer, std::string const& correlation, CommandRequest const& command) {
        auto frame = FrameCodec::encodeCommand(command);
        frame["correlation"] = correlation;
        this->sendFrame(peer, std::move(frame));
    };
    result.submitLocally = [this](std::string const& correlation, CommandRequest&& command) {
        this->deferred.emplace_back([this, correlation, command = std::move(command)]() mutable {
            this->keyOwner.submit(this->identity.name + '|' + correlation, std::move(command), this->currentTime);
        });
    };
    result.answer = [this](CallerAnswer&& callerAnswer) { this->answer(std::move(callerAnswer)); };
    result.likelyOwner = [this](std::string_view key) { return this->likelyOwner(key); };
    result.isUsable = [this](std::string const& node) { return this->membership.usable(node); };
    return result;
}

DigestExchange::Hooks NodeCore::digestHooks()
{
    DigestExchange::Hooks result;
    result.self = [this] { return this->selfAsPeer(); };
    result.configurationVersion = [this] { return this->configurationState.version(); };
    result.memberEntries = [this](size_t limit) { return this->membership.digestEntries(limit); };
    result.ownership = [this]() -> std::map<uint32_t, OwnershipRecord> const& { return this->keyOwner.records(); };
    result.memberReceived = [this](Peer const& peer) {
        if (peer.name != this->identity.name)
            this->membership.onDigestEntry(peer, this->currentTime);
    };
    result.peerVersion = [this](std::string const& peer, uint64_t version) {
        this->configurationState.onPeerVersion(peer, version, this->currentTime);
    };
    result.record = [this](OwnershipRecord const& record) { this->keyOwner.onRecord(record, this->currentTime); };
    result.targetLeaving = [this](std::string const& target) { this->onTargetLeaving(target); };
    result.send = [this](std::string const& peer, Json::Value&& frame) { this->sendFrame(peer, std::move(frame)); };
    return result;
}

} // namespace Toucan
