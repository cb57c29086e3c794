#include "Engine/FrameCodec.h"

#include "Base/Error.h"

namespace Toucan::FrameCodec {

template <typename Decode> static auto decodeChecked(char const* kind, Decode const& decode)
{
    try {
        return decode();
    } catch (Json::Exception const& exception) {
        throw Error(ErrorKind::ProtocolViolation, std::string("Invalid ") + kind + " frame: " + exception.what(),
            "Check that all nodes run a released version");
    }
}

static Json::Value encodeLoad(TargetLoad const& load)
{
    Json::Value value(Json::arrayValue);
    value.append(load.running);
    value.append(load.queued);
    value.append(load.slots);
    return value;
}

static TargetLoad decodeLoad(Json::Value const& value)
{
    TargetLoad load;
    if (value.size() != 3)
        return load;
    load.running = value[0].asUInt();
    load.queued = value[1].asUInt();
    load.slots = value[2].asUInt();
    return load;
}

static Json::Value encodeRequest(PartRequest const& part)
{
    Json::Value request;
    request["id"] = part.requestId;
    request["service"] = part.service;
    request["snapshot"] = part.snapshot;
    request["class"] = part.classIndex;
    request["remaining"] = part.remaining.value;
    request["idempotent"] = part.idempotence == Idempotence::Idempotent;
    if (!part.requestKey.empty())
        request["key"] = part.requestKey;
    request["body"] = part.body ? *part.body : std::string();
    request["parts"] = Json::Value(Json::arrayValue);
    return request;
}

static bool isSameRequest(PartRequest const& first, PartRequest const& second)
{
    return first.requestId == second.requestId && first.body == second.body && first.snapshot == second.snapshot
        && first.service == second.service && first.requestKey == second.requestKey
        && first.remaining == second.remaining && first.classIndex == second.classIndex;
}

Json::Value encodeParts(std::span<PartRequest const> parts)
{
    Json::Value frame;
    frame["kind"] = "parts";
    auto& requests = frame["requests"] = Json::Value(Json::arrayValue);
    PartRequest const* previous = nullptr;
    for (auto const& part : parts) {
        if (!previous || !isSameRequest(*previous, part))
            requests.append(encodeRequest(part));
        previous = &part;
        Json::Value entry;
        entry["attempt"] = part.attempt;
        entry["target"] = part.target;
        entry["shard"] = part.shard;
        requests[requests.size() - 1]["parts"].append(std::move(entry));
    }
    return frame;
}

std::vector<PartRequest> decodeParts(Json::Value const& frame)
{
    return decodeChecked("parts", [&] {
        std::vector<PartRequest> parts;
        for (auto const& request : frame["requests"]) {
            PartRequest part;
            part.requestId = request["id"].asString();
            part.service = request["service"].asString();
            part.snapshot = request["snapshot"].asString();
            part.classIndex = request["class"].asUInt();
            part.remaining = { request["remaining"].asDouble() };
            part.idempotence
                = request.get("idempotent", false).asBool() ? Idempotence::Idempotent : Idempotence::NonIdempotent;
            part.requestKey = request["key"].asString();
            part.body = std::make_shared<std::string const>(request["body"].asString());
            for (auto const& entry : request["parts"]) {
                part.attempt = entry["attempt"].asString();
                part.target = entry["target"].asString();
                part.shard = entry["shard"].asUInt();
                parts.push_back(part);
            }
        }
        return parts;
    });
}

Json::Value encodeResults(std::span<PartResult const> results)
{
    Json::Value frame;
    frame["kind"] = "results";
    auto& entries = frame["results"] = Json::Value(Json::arrayValue);
    for (auto const& result : results) {
        Json::Value entry;
        entry["attempt"] = result.attempt;
        entry["target"] = result.target;
        entry["status"] = static_cast<int>(result.status);
        entry["id"] = result.requestId;
        entry["snapshot"] = result.snapshot;
        entry["shard"] = result.shard;
        entry["hits"] = result.hits;
        entry["service"] = result.serviceTime.value;
        entry["queued"] = result.queueTime.value;
        entry["retryAfter"] = result.retryAfter.value;
        entry["state"] = static_cast<int>(result.state);
        entry["load"] = encodeLoad(result.load);
        // "carrier" is the name of the dispatcher in frames.
        entry["carrierQueue"] = result.dispatcherQueueLength;
        entries.append(std::move(entry));
    }
    return frame;
}

std::vector<PartResult> decodeResults(Json::Value const& frame)
{
    return decodeChecked("results", [&] {
        std::vector<PartResult> results;
        for (auto const& entry : frame["results"]) {
            PartResult result;
            result.attempt = entry["attempt"].asString();
            result.target = entry["target"].asString();
            auto const status = entry["status"].asInt();
            // A newer node may send a status that this version does not know; such an attempt may have run.
            auto const isKnown = status >= 0 && status <= static_cast<int>(PartStatus::NoDispatcher);
            result.status = isKnown ? static_cast<PartStatus>(status) : PartStatus::TargetError;
            result.requestId = entry["id"].asString();
            result.snapshot = entry["snapshot"].asString();
            result.shard = entry["shard"].asUInt();
            result.hits = entry["hits"];
            result.serviceTime = { entry["service"].asDouble() };
            result.queueTime = { entry["queued"].asDouble() };
            result.retryAfter = { entry["retryAfter"].asDouble() };
            auto const state = entry["state"].asInt();
            if (state >= 0 && state <= static_cast<int>(TargetState::Draining))
                result.state = static_cast<TargetState>(state);
            result.load = decodeLoad(entry["load"]);
            result.dispatcherQueueLength = entry["carrierQueue"].asUInt();
            results.push_back(std::move(result));
        }
        return results;
    });
}

Json::Value encodeCommand(CommandRequest const& command)
{
    Json::Value frame;
    frame["kind"] = "command";
    frame["key"] = command.requestKey;
    frame["id"] = command.requestId;
    frame["service"] = command.service;
    frame["record"] = command.record;
    frame["class"] = command.classIndex;
    frame["remaining"] = command.remaining.value;
    frame["body"] = command.body ? *command.body : std::string();
    return frame;
}

CommandRequest decodeCommand(Json::Value const& frame)
{
    return decodeChecked("command", [&] {
        CommandRequest command;
        command.requestKey = frame["key"].asString();
        command.requestId = frame["id"].asString();
        command.service = frame["service"].asString();
        command.record = frame["record"].asString();
        command.classIndex = frame["class"].asUInt();
        command.remaining = { frame["remaining"].asDouble() };
        command.body = std::make_shared<std::string const>(frame["body"].asString());
        return command;
    });
}

static Outcome parseOutcome(std::string const& text)
{
    for (auto const outcome : { Outcome::Ran, Outcome::NotRun }) {
        if (toString(outcome) == text)
            return outcome;
    }
    return Outcome::Unknown;
}

Json::Value encodeCommandResult(CommandResult const& result)
{
    Json::Value frame;
    frame["kind"] = "commandResult";
    frame["key"] = result.requestKey;
    frame["id"] = result.requestId;
    frame["outcome"] = std::string(toString(result.outcome));
    frame["status"] = result.status;
    frame["snapshot"] = result.snapshot;
    frame["shard"] = result.shard;
    frame["hits"] = result.hits;
    auto& problem = frame["problem"];
    problem["type"] = result.problem.type;
    problem["title"] = result.problem.title;
    problem["detail"] = result.problem.detail;
    problem["remedy"] = result.problem.remedy;
    return frame;
}

CommandResult decodeCommandResult(Json::Value const& frame)
{
    return decodeChecked("commandResult", [&] {
        CommandResult result;
        result.requestKey = frame["key"].asString();
        result.requestId = frame["id"].asString();
        result.outcome = parseOutcome(frame["outcome"].asString());
        result.status = frame["status"].asInt();
        result.snapshot = frame["snapshot"].asString();
        result.shard = frame["shard"].asUInt();
        result.hits = frame["hits"];
        auto const& problem = frame["problem"];
        result.problem = { problem["type"].asString(), problem["title"].asString(), problem["detail"].asString(),
            problem["remedy"].asString() };
        return result;
    });
}

Json::Value encodePeer(Peer const& peer)
{
    Json::Value value;
    value["name"] = peer.name;
    value["address"] = peer.address;
    value["domain"] = peer.failureDomain;
    value["incarnation"] = static_cast<Json::UInt64>(peer.incarnation);
    value["state"] = static_cast<int>(peer.state);
    return value;
}

Peer decodePeer(Json::Value const& value)
{
    return decodeChecked("member", [&] {
        Peer peer;
        peer.name = value["name"].asString();
        peer.address = value["address"].asString();
        peer.failureDomain = value["domain"].asString();
        peer.incarnation = value["incarnation"].asUInt64();
        auto const state = value["state"].asInt();
        if (state >= 0 && state <= static_cast<int>(PeerState::Leaving))
            peer.state = static_cast<PeerState>(state);
        return peer;
    });
}

Json::Value encodeOwnershipRecord(OwnershipRecord const& record)
{
    Json::Value value;
    value["range"] = record.range;
    value["owner"] = record.owner;
    value["incarnation"] = static_cast<Json::UInt64>(record.incarnation);
    value["from"] = static_cast<Json::UInt64>(record.from);
    value["until"] = static_cast<Json::UInt64>(record.until);
    value["revision"] = static_cast<Json::UInt64>(record.revision);
    return value;
}

OwnershipRecord decodeOwnershipRecord(Json::Value const& value)
{
    return decodeChecked("ownership", [&] {
        OwnershipRecord record;
        record.range = value["range"].asUInt();
        record.owner = value["owner"].asString();
        record.incarnation = value["incarnation"].asUInt64();
        record.from = value["from"].asUInt64();
        record.until = value["until"].asUInt64();
        record.revision = value["revision"].asUInt64();
        return record;
    });
}

Json::Value encodeConfigurationUpdate(ConfigurationUpdate const& update)
{
    Json::Value frame;
    frame["kind"] = "fetched";
    frame["root"] = writeRoot(update.root);
    auto& parts = frame["parts"] = Json::Value(Json::objectValue);
    for (auto const& [hash, text] : update.parts)
        parts[hash] = text;
    return frame;
}

ConfigurationUpdate decodeConfigurationUpdate(Json::Value const& frame)
{
    return decodeChecked("fetched", [&] {
        ConfigurationUpdate update;
        update.root = parseRoot(frame["root"].asString());
        auto const& parts = frame["parts"];
        for (auto const& hash : parts.getMemberNames())
            update.parts[hash] = parts[hash].asString();
        return update;
    });
}

} // namespace Toucan::FrameCodec
