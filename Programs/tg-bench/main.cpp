#include "Base/Json.h"
#include "Engine/DispatcherAssignment.h"
#include "Engine/FrameCodec.h"
#include "EngineFleet.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <json/writer.h>
#include <malloc.h>
#include <map>
#include <tclap/CmdLine.h>
#include <utility>

using namespace Toucan;

static constexpr int rounds = 2000;
static constexpr int installRounds = 5;
static constexpr int measuredQueries = 50;
static constexpr uint32_t dispatcherParts = 20'000;

/// CPU time of this process in microseconds.
static double cpuMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

template <typename Work> static double measureCpuMicroseconds(Work const& work)
{
    auto const start = cpuMicroseconds();
    work();
    return cpuMicroseconds() - start;
}

/// Bytes of the heap that are in use.
static size_t heapBytes()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Bytes of a frame on the wire, with its length field.
static size_t wireBytes(Json::Value const& frame) { return writeJson(frame).size() + 4; }

static std::string withSender(CollectingNode const& sender, Json::Value frame)
{
    frame["from"] = sender.core.identity.name;
    return writeJson(frame);
}

static void receive(CollectingNode& node, std::string const& text)
{
    node.core.onFrame(parseJson(text), node.now);
    node.core.finishEvent(node.now);
}

/// Cost of digests and probes between two nodes that know all peers and key owners.
static Json::Value measureControl(FleetSize const& size, ConfigurationUpdate const& update)
{
    CollectingNode first(size, 0);
    CollectingNode second(size, 1);
    for (auto* node : { &first, &second }) {
        node->core.configurationState.onUpdate(ConfigurationUpdate(update), node->now);
        node->core.finishEvent(node->now);
        node->receiveDigests(size);
        node->receiveOwnershipRecords(size);
    }
    Json::Value result;
    std::string digest;
    result["digestSendMicroseconds"] = measureCpuMicroseconds([&] {
        for (int round = 0; round < rounds; ++round) {
            first.core.digestExchange.send(second.core.identity.name, first.now);
            digest = writeJson(first.frames.back().second);
            first.frames.clear();
        }
    }) / rounds;
    result["digestBytes"] = static_cast<Json::UInt64>(digest.size() + 4);
    result["digestReceiveMicroseconds"] = measureCpuMicroseconds([&] {
        for (int round = 0; round < rounds; ++round)
            receive(second, digest);
    }) / rounds;
    Json::Value probe;
    probe["kind"] = "probe";
    probe["number"] = 1000;
    probe["self"] = parseJson(digest)["self"];
    auto const probeText = withSender(first, probe);
    second.frames.clear();
    std::string answer;
    result["probeReceiveAndAnswerMicroseconds"] = measureCpuMicroseconds([&] {
        for (int round = 0; round < rounds; ++round) {
            receive(second, probeText);
            answer = writeJson(second.frames.back().second);
            second.frames.clear();
        }
    }) / rounds;
    result["probeAnswerReceiveMicroseconds"] = measureCpuMicroseconds([&] {
        for (int round = 0; round < rounds; ++round)
            receive(first, answer);
    }) / rounds;
    result["probeBytes"] = static_cast<Json::UInt64>(probeText.size() + 4);
    result["probeAnswerBytes"] = static_cast<Json::UInt64>(answer.size() + 4);
    Milliseconds next;
    result["nextWakeupMicroseconds"] = measureCpuMicroseconds([&] {
        for (int round = 0; round < rounds; ++round)
            next = std::max(next, first.core.nextWakeup());
    }) / rounds;
    first.frames.clear();
    result["advanceMicroseconds"] = measureCpuMicroseconds([&] {
        for (int round = 0; round < rounds; ++round)
            first.core.advance(first.now);
    }) / rounds;
    return result;
}

/// CPU time to install a full configuration and one changed configuration part of a service, and the bytes that a peer
/// sends for them.
static Json::Value measureInstall(FleetSize const& size, Json::Value document, ConfigurationUpdate const& fullUpdate)
{
    CollectingNode node(size, 0);
    node.receiveDigests(size);
    Json::Value result;
    auto const heapBefore = heapBytes();
    result["wholeMicroseconds"] = measureCpuMicroseconds([&] {
        node.core.configurationState.onUpdate(ConfigurationUpdate(fullUpdate), node.now);
        node.core.finishEvent(node.now);
    });
    result["heapBytesOfConfiguration"] = static_cast<Json::UInt64>(heapBytes() - heapBefore);
    result["wholeFrameBytes"] = static_cast<Json::UInt64>(wireBytes(FrameCodec::encodeConfigurationUpdate(fullUpdate)));
    std::vector<std::string> knownHashes;
    Json::Value fetch;
    fetch["kind"] = "fetch";
    for (auto const& [hash, text] : fullUpdate.parts) {
        knownHashes.push_back(hash);
        fetch["known"].append(hash);
    }
    result["fetchFrameBytes"] = static_cast<Json::UInt64>(wireBytes(fetch));
    result["answerFetchMicroseconds"] = measureCpuMicroseconds([&] {
        for (int round = 0; round < installRounds; ++round)
            writeJson(FrameCodec::encodeConfigurationUpdate(node.core.configurationState.answerFetch(knownHashes)));
    }) / installRounds;
    for (auto const* changed : { "small-1", "large-1" }) {
        double total = 0;
        size_t bytes = 0;
        for (int round = 0; round < installRounds; ++round) {
            auto& targets = document["services"][changed]["targets"];
            targets[targets.getMemberNames().front()]["slots"] = 10 + round;
            auto update = createConfigurationUpdate(document, node.core.configurationState.version() + 1);
            for (auto const& hash : knownHashes)
                update.parts.erase(hash);
            auto const text = writeJson(FrameCodec::encodeConfigurationUpdate(update));
            bytes = text.size() + 4;
            total += measureCpuMicroseconds([&] {
                node.core.configurationState.onUpdate(FrameCodec::decodeConfigurationUpdate(parseJson(text)), node.now);
                node.core.finishEvent(node.now);
            });
            for (auto const& [hash, part] : update.parts)
                knownHashes.push_back(hash);
        }
        auto& entry = result["changed"][changed];
        entry["microseconds"] = total / installRounds;
        entry["frameBytes"] = static_cast<Json::UInt64>(bytes);
        entry["installedVersion"] = static_cast<Json::UInt64>(node.core.configurationState.version());
    }
    return result;
}

/// Minimum ("least"), mean, 99th percentile and maximum ("most") of the values; `values` must not be empty.
static Json::Value summarize(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    double sum = 0;
    for (auto const value : values)
        sum += value;
    Json::Value result;
    result["least"] = values.front();
    result["mean"] = sum / static_cast<double>(values.size());
    result["p99"] = values[values.size() * 99 / 100];
    result["most"] = values.back();
    return result;
}

/// Distribution of targets and connections over the nodes, and targets whose connection limit is exceeded.
static Json::Value measureDispatcherAssignment(Configuration const& configuration)
{
    std::map<std::string, double> targetsPerNode;
    std::map<std::string, double> targetsAsFirstCandidate;
    std::map<std::string, double> connectionsPerNode;
    for (auto const& [name, node] : configuration.fleet.nodes)
        targetsPerNode[name] = targetsAsFirstCandidate[name] = connectionsPerNode[name] = 0;
    uint64_t targetsOverLimit = 0;
    uint64_t targetsWithShareBelowSlots = 0;
    auto const totalMicroseconds = measureCpuMicroseconds([&] {
        for (auto const& [serviceName, service] : configuration.services) {
            for (auto const& [targetName, target] : service.targets) {
                auto const names = dispatcherCandidates(configuration.fleet, target, "");
                auto const share = connectionShare(configuration.fleet, target);
                ++targetsAsFirstCandidate[names.front()];
                for (auto const& name : names) {
                    ++targetsPerNode[name];
                    connectionsPerNode[name] += share;
                }
                targetsOverLimit += share * (names.size() + 1) > target.connections ? 1 : 0;
                targetsWithShareBelowSlots += share < target.slots ? 1 : 0;
            }
        }
    });
    auto const values = [](std::map<std::string, double> const& map) {
        std::vector<double> list;
        list.reserve(map.size());
        for (auto const& [name, value] : map)
            list.push_back(value);
        return summarize(std::move(list));
    };
    Json::Value result;
    result["milliseconds"] = totalMicroseconds / 1000;
    result["targetsPerNode"] = values(targetsPerNode);
    result["targetsPerNodeAsFirstCandidate"] = values(targetsAsFirstCandidate);
    result["connectionsPerNode"] = values(connectionsPerNode);
    result["targetsOverConnectionLimit"] = static_cast<Json::UInt64>(targetsOverLimit);
    result["targetsWithShareBelowSlots"] = static_cast<Json::UInt64>(targetsWithShareBelowSlots);
    return result;
}

static Json::Value oneHit(PartRequest const& part)
{
    Json::Value hit;
    hit["id"] = "record-" + std::to_string(part.shard);
    hit["score"] = 0.5;
    Json::Value hits(Json::arrayValue);
    hits.append(std::move(hit));
    return hits;
}

static TargetAnswer completeAnswer(PartRequest const& part)
{
    TargetAnswer answer;
    answer.attempt = part.attempt;
    answer.target = part.target;
    answer.status = 200;
    answer.load = { 1, 0, 24 };
    answer.body["attempt"] = part.attempt;
    answer.body["requestId"] = part.requestId;
    answer.body["snapshot"] = part.snapshot;
    answer.body["shard"] = part.shard;
    answer.body["complete"] = true;
    answer.body["hits"] = oneHit(part);
    return answer;
}

/// Text of the frame in which `dispatcher` returns a complete result for each part of `frame`.
static std::string resultsFor(std::string const& dispatcher, Json::Value const& frame)
{
    std::vector<PartResult> results;
    for (auto const& part : FrameCodec::decodeParts(frame)) {
        PartResult result;
        result.attempt = part.attempt;
        result.target = part.target;
        result.status = PartStatus::Complete;
        result.requestId = part.requestId;
        result.snapshot = part.snapshot;
        result.shard = part.shard;
        result.hits = oneHit(part);
        result.serviceTime = 4_ms;
        result.load = { 1, 0, 24 };
        results.push_back(std::move(result));
    }
    auto answer = FrameCodec::encodeResults(results);
    answer["from"] = dispatcher;
    answer["self"] = frame["self"];
    return writeJson(answer);
}

static void answerLocalCalls(CollectingNode& node)
{
    for (auto const& call : std::exchange(node.calls, {})) {
        node.core.dispatcher.onTargetAnswer(completeAnswer(call.part), node.now);
        node.core.finishEvent(node.now);
    }
}

/// Cost of queries at the node that receives them from a caller: fan-out, encoding, decoding of results and merge.
static Json::Value measureQueries(FleetSize const& size, ConfigurationUpdate const& update)
{
    CollectingNode node(size, 0);
    node.core.configurationState.onUpdate(ConfigurationUpdate(update), node.now);
    node.core.finishEvent(node.now);
    node.receiveDigests(size);
    double sendMicroseconds = 0;
    double receiveMicroseconds = 0;
    double frames = 0;
    double bytesSent = 0;
    double bytesReceived = 0;
    for (int round = 0; round < measuredQueries + 1; ++round) {
        CallerRequest request;
        request.handle = static_cast<RequestHandle>(round) + 1;
        request.requestId = "request-" + std::to_string(round);
        request.service = "large-1";
        request.received = node.now;
        request.body = std::make_shared<std::string const>(R"({"limit":10,"text":"carrot"})");
        request.limit = 10;
        std::vector<std::string> texts;
        auto const roundSendMicroseconds = measureCpuMicroseconds([&] {
            node.core.onCallerRequest(std::move(request), node.now);
            node.core.finishEvent(node.now);
            for (auto const& [peer, frame] : node.frames)
                texts.push_back(writeJson(frame));
        });
        std::vector<std::string> results;
        for (auto const& [peer, frame] : std::exchange(node.frames, {}))
            results.push_back(resultsFor(peer, frame));
        node.now = node.now + 4_ms;
        auto const roundReceiveMicroseconds = measureCpuMicroseconds([&] {
            for (auto const& text : results)
                receive(node, text);
        });
        answerLocalCalls(node);
        node.frames.clear();
        // The first query is not measured, because it also fills the lists of dispatchers.
        if (round == 0)
            continue;
        sendMicroseconds += roundSendMicroseconds;
        receiveMicroseconds += roundReceiveMicroseconds;
        frames += static_cast<double>(texts.size());
        for (auto const& text : texts)
            bytesSent += static_cast<double>(text.size() + 4);
        for (auto const& text : results)
            bytesReceived += static_cast<double>(text.size() + 4);
    }
    auto const parts = static_cast<double>(measuredQueries) * size.targetsPerQuery;
    Json::Value result;
    result["sendMicrosecondsPerPart"] = sendMicroseconds / parts;
    result["receiveMicrosecondsPerPart"] = receiveMicroseconds / parts;
    result["framesPerQuery"] = frames / measuredQueries;
    result["bytesSentPerPart"] = bytesSent / parts;
    result["bytesReceivedPerPart"] = bytesReceived / parts;
    result["wholeAnswers"] = static_cast<Json::UInt64>(node.completeAnswers);
    result["answers"] = static_cast<Json::UInt64>(node.answers);
    return result;
}

/// Cost of part requests at the dispatcher, without HTTP: frames with `partsPerFrame` parts each, and their results.
static Json::Value measureDispatcher(FleetSize const& size, ConfigurationUpdate const& update, uint32_t partsPerFrame)
{
    CollectingNode node(size, 0);
    node.core.configurationState.onUpdate(ConfigurationUpdate(update), node.now);
    node.core.finishEvent(node.now);
    node.receiveDigests(size);
    std::vector<std::pair<std::string, std::string>> dispatchedTargets;
    auto const configuration = node.core.configurationState.current();
    for (auto const& [serviceName, service] : configuration->services) {
        for (auto const& [targetName, target] : service.targets) {
            if (node.core.partRouter.isDispatcherCandidate(serviceName, targetName))
                dispatchedTargets.emplace_back(serviceName, targetName);
        }
    }
    // A dispatcher sends no parts to a target before the target's first status.
    for (auto const& [serviceName, targetName] : dispatchedTargets)
        node.core.dispatcher.onTargetStatus(targetName, TargetState::Serving, {}, node.now);
    auto const body = std::make_shared<std::string const>(R"({"limit":10,"text":"carrot"})");
    double totalMicroseconds = 0;
    uint32_t answered = 0;
    size_t resultFrames = 0;
    Json::Value self;
    self["name"] = nodeName(1);
    self["incarnation"] = 1'790'000'000'001;
    for (uint32_t sent = 0; sent < dispatcherParts; sent += partsPerFrame) {
        std::vector<PartRequest> parts;
        for (uint32_t index = 0; index < partsPerFrame; ++index) {
            PartRequest part;
            part.attempt = "entry-2/1790000000001/" + std::to_string(sent + index);
            part.requestId = "request-" + std::to_string(sent);
            std::tie(part.service, part.target) = dispatchedTargets[(sent + index) % dispatchedTargets.size()];
            part.snapshot = "s1";
            part.classIndex = 1;
            part.remaining = 59_ms;
            part.body = body;
            parts.push_back(std::move(part));
        }
        auto frame = FrameCodec::encodeParts(parts);
        frame["from"] = nodeName(1);
        frame["self"] = self;
        auto const text = writeJson(frame);
        totalMicroseconds += measureCpuMicroseconds([&] { receive(node, text); });
        std::vector<TargetAnswer> answers;
        for (auto const& call : std::exchange(node.calls, {}))
            answers.push_back(completeAnswer(call.part));
        node.now = node.now + 1_ms;
        totalMicroseconds += measureCpuMicroseconds([&] {
            for (auto& answer : answers) {
                node.core.dispatcher.onTargetAnswer(std::move(answer), node.now);
                node.core.finishEvent(node.now);
            }
            for (auto const& [peer, result] : node.frames)
                writeJson(result);
        });
        answered += static_cast<uint32_t>(answers.size());
        resultFrames += node.frames.size();
        node.frames.clear();
    }
    Json::Value result;
    result["partsPerFrame"] = partsPerFrame;
    result["microsecondsPerPart"] = totalMicroseconds / dispatcherParts;
    result["partsSentToTargets"] = answered;
    result["resultFrames"] = static_cast<Json::UInt64>(resultFrames);
    return result;
}

/// Heap bytes of one node's engine that knows all peers, without and with the configuration.
static Json::Value measureMemory(FleetSize const& size, ConfigurationUpdate const& update)
{
    auto const before = heapBytes();
    CollectingNode node(size, 0);
    node.receiveDigests(size);
    auto const withPeers = heapBytes();
    node.core.configurationState.onUpdate(ConfigurationUpdate(update), node.now);
    node.core.finishEvent(node.now);
    Json::Value result;
    result["heapBytesWithPeers"] = static_cast<Json::UInt64>(withPeers - before);
    result["heapBytesWithConfiguration"] = static_cast<Json::UInt64>(heapBytes() - before);
    return result;
}

/// Measures the engine alone, without I/O, and prints one JSON object. The cost of a frame includes the
/// encoding or decoding of its JSON text.
int main(int argumentCount, char** arguments)
{
    try {
        TCLAP::CmdLine command("Measures CPU time and memory of one node's engine without I/O", ' ', "1");
        TCLAP::ValueArg<uint32_t> nodes("", "nodes", "Roster nodes", false, 470, "count", command);
        TCLAP::ValueArg<uint32_t> targets("", "targets", "Targets of all services", false, 2500, "count", command);
        TCLAP::ValueArg<uint32_t> perQuery("", "per-query", "Targets per query", false, 770, "count", command);
        command.parse(argumentCount, arguments);
        FleetSize const size { nodes.getValue(), targets.getValue(), perQuery.getValue() };
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "  ";
        builder["precision"] = 6;
        auto const document = fleetDocument(size);
        auto const update = createConfigurationUpdate(document, 1);
        Json::Value result;
        result["nodes"] = size.nodes;
        result["targets"] = size.targets;
        result["targetsPerQuery"] = size.targetsPerQuery;
        result["services"] = document["services"].size();
        result["memory"] = measureMemory(size, update);
        result["control"] = measureControl(size, update);
        result["install"] = measureInstall(size, document, update);
        result["carrierMap"] = measureDispatcherAssignment(*parseDocument(document, 1, "bench"));
        result["entry"] = measureQueries(size, update);
        result["carrier"].append(measureDispatcher(size, update, 1));
        result["carrier"].append(measureDispatcher(size, update, 8));
        std::cout << Json::writeString(builder, result) << '\n';
        return 0;
    } catch (std::exception const& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
