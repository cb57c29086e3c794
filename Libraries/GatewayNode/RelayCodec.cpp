#include "GatewayNode/RelayCodec.h"

#include "Base/Base64.h"
#include "Base/Error.h"
#include "Base/Json.h"
#include "Quarantine/RequestFingerprint.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>

namespace Toucan {

/// Limit of the decompressed entries, in bytes, because a small compressed body can expand to many times its size.
constexpr size_t maximumEntryBytes = 8388608;

/// Slowdowns are written as integer percentages.
constexpr double percent = 100;
/// Written in place of a slowdown when the target leaves. Versions that don't know it take it for a slowdown of a
/// target that should not be used.
constexpr uint32_t leavingPercentage = 4294967295;

static Json::UInt64 wholeMilliseconds(Milliseconds duration)
{
    return static_cast<Json::UInt64>(std::max(duration.value, 0.0));
}

static Json::Value writeObservationArray(std::span<TargetObservation const> observations)
{
    Json::Value list(Json::arrayValue);
    for (auto const& observation : observations) {
        if (observation.isAboutRateLimit() || observation.termination)
            continue;
        Json::Value entry(Json::arrayValue);
        entry.append(observation.target);
        auto const percentage
            = std::clamp(observation.slowdown * percent, 0.0, static_cast<double>(leavingPercentage - 1));
        entry.append(Json::UInt64 { observation.leaving ? leavingPercentage : static_cast<uint64_t>(percentage) });
        entry.append(wholeMilliseconds(observation.age));
        list.append(std::move(entry));
    }
    return list;
}

static std::vector<TargetObservation> readObservationArray(Json::Value const& list)
{
    std::vector<TargetObservation> observations;
    for (auto const& entry : list) {
        bool const valid
            = entry.isArray() && entry.size() == 3 && entry[0].isString() && entry[1].isUInt() && entry[2].isUInt();
        if (!valid)
            throw Error(ErrorKind::InvalidInput, "An observation is not [target, slowdown, age]",
                "Run the same version on all nodes");
        auto const percentage = entry[1].asUInt();
        TargetObservation observation { entry[0].asString(), std::max(percentage, 1U) / percent,
            Milliseconds { entry[2].asDouble() } };
        observation.leaving = percentage == leavingPercentage;
        observations.push_back(std::move(observation));
    }
    return observations;
}

/// Rate limits are written apart, because versions that don't know them ignore unknown fields, but not unknown kinds of
/// observations.
static Json::Value writeLimitArray(std::span<TargetObservation const> observations)
{
    Json::Value list(Json::arrayValue);
    for (auto const& observation : observations) {
        if (!observation.isAboutRateLimit())
            continue;
        Json::Value entry(Json::arrayValue);
        entry.append(observation.target.empty() ? observation.idHash : hashTargetId(observation.target));
        entry.append(std::isfinite(*observation.rateLimit) ? Json::Value(*observation.rateLimit) : Json::Value());
        entry.append(wholeMilliseconds(observation.age));
        list.append(std::move(entry));
    }
    return list;
}

static void readLimitArray(Json::Value const& list, std::vector<TargetObservation>& observations)
{
    for (auto const& entry : list) {
        bool const valid = entry.isArray() && entry.size() == 3 && entry[0].isUInt()
            && (entry[1].isNull() || (entry[1].isNumeric() && entry[1].asDouble() >= 0)) && entry[2].isUInt();
        if (!valid)
            throw Error(ErrorKind::InvalidInput, "A rate limit is not [target hash, limit, age]",
                "Run the same version on all nodes");
        TargetObservation observation;
        observation.idHash = entry[0].asUInt();
        observation.rateLimit = entry[1].isNull() ? noRateLimit : entry[1].asDouble();
        observation.age = { entry[2].asDouble() };
        observations.push_back(std::move(observation));
    }
}

/// Written apart for the same reason.
static Json::Value writeTerminationArray(std::span<TargetObservation const> observations)
{
    Json::Value list(Json::arrayValue);
    for (auto const& observation : observations) {
        if (!observation.termination)
            continue;
        auto const& report = *observation.termination;
        Json::Value entry(Json::arrayValue);
        entry.append(fingerprintText(report.fingerprint));
        entry.append(report.target);
        entry.append(report.route);
        entry.append(wholeMilliseconds(observation.age));
        entry.append(report.cleared);
        entry.append(report.isCanary);
        list.append(std::move(entry));
    }
    return list;
}

/// Empty when the text is not a fingerprintText() other than that of 0.
static std::optional<uint64_t> readFingerprint(Json::Value const& value)
{
    constexpr size_t digits = 16;
    if (!value.isString())
        return std::nullopt;
    auto const text = value.asString();
    uint64_t fingerprint = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), fingerprint, digits);
    bool const complete = error == std::errc() && end == text.data() + text.size() && text.size() == digits;
    return complete && fingerprint ? std::optional(fingerprint) : std::nullopt;
}

static void readTerminationArray(Json::Value const& list, std::vector<TargetObservation>& observations)
{
    constexpr Json::ArrayIndex fields = 6;
    for (auto const& entry : list) {
        bool const valid = entry.isArray() && entry.size() == fields && entry[1].isUInt() && entry[2].isUInt()
            && entry[3].isUInt() && entry[4].isBool() && entry[5].isBool();
        auto const fingerprint = valid ? readFingerprint(entry[0]) : std::nullopt;
        if (!fingerprint)
            throw Error(ErrorKind::InvalidInput,
                "A termination is not [fingerprint, target, route, age, cleared, canary]",
                "Run the same version on all nodes");
        observations.push_back(
            observationOf({ *fingerprint, entry[1].asUInt(), entry[2].asUInt(), entry[4].asBool(), entry[5].asBool() },
                Milliseconds { entry[3].asDouble() }));
    }
}

std::string writeObservations(std::span<TargetObservation const> observations)
{
    Json::Value body(Json::objectValue);
    body["observations"] = writeObservationArray(observations);
    body["limits"] = writeLimitArray(observations);
    if (auto terminations = writeTerminationArray(observations); !terminations.empty())
        body["terminations"] = std::move(terminations);
    return writeJson(body);
}

std::vector<TargetObservation> readObservations(std::string_view body)
{
    auto const document = parseJson(body);
    if (!document.isObject() || !document["observations"].isArray())
        throw Error(ErrorKind::InvalidInput, "The body has no observations", "Run the same version on all nodes");
    auto observations = readObservationArray(document["observations"]);
    readLimitArray(document["limits"], observations);
    readTerminationArray(document["terminations"], observations);
    return observations;
}

std::string writeNodeReport(NodeReport const& report)
{
    Json::Value body(Json::objectValue);
    body["relay"] = report.relay;
    body["complete"] = report.isComplete;
    body["nodes"] = Json::Value(Json::arrayValue);
    for (auto const node : report.nodes)
        body["nodes"].append(node);
    for (auto const node : report.heard)
        body["heard"].append(node);
    return writeJson(body);
}

NodeReport readNodeReport(std::string_view body)
{
    auto const document = parseJson(body);
    bool const valid = document.isObject() && document["relay"].isString() && document["nodes"].isArray()
        && document["complete"].isBool();
    if (!valid)
        throw Error(
            ErrorKind::InvalidInput, "The body lacks relay, nodes or complete", "Run the same version on all nodes");
    NodeReport report { document["relay"].asString(), {}, document["complete"].asBool(), {} };
    auto const readNodes = [](Json::Value const& array, std::vector<uint32_t>& nodes) {
        for (auto const& node : array) {
            if (!node.isUInt())
                throw Error(ErrorKind::InvalidInput, "A node is not a number", "Run the same version on all nodes");
            nodes.push_back(node.asUInt());
        }
    };
    readNodes(document["nodes"], report.nodes);
    if (document["heard"].isArray())
        readNodes(document["heard"], report.heard);
    return report;
}

/// Steps of the packed slowdown for each doubling; a byte covers 1/16 to 2,000.
constexpr double stepsPerDoubling = 17;
/// Packed value of a slowdown of 1.
constexpr int slowdownOffset = 68;
/// Packed in place of a slowdown when the target leaves; slowdowns are below it.
constexpr uint8_t packedLeaving = 255;
/// Unit of a packed age, in milliseconds.
constexpr double packedAgeUnit = 10;
/// Size of one packed observation.
constexpr size_t packedBytes = 6;

static char toByte(double value) { return static_cast<char>(static_cast<uint8_t>(std::clamp(value, 0.0, 255.0))); }

std::string packObservations(std::span<TargetObservation const> observations)
{
    std::string bytes;
    bytes.reserve(observations.size() * packedBytes);
    for (auto const& observation : observations) {
        if (observation.isAboutRateLimit() || observation.termination)
            continue;
        auto const hash = observation.target.empty() ? observation.idHash : hashTargetId(observation.target);
        for (unsigned shift = 0; shift < 32; shift += 8)
            bytes += static_cast<char>(static_cast<uint8_t>(hash >> shift));
        auto const slowdown = std::round(std::log2(observation.slowdown) * stepsPerDoubling) + slowdownOffset;
        bytes += toByte(observation.leaving ? packedLeaving : std::min<double>(slowdown, packedLeaving - 1));
        bytes += toByte(std::round(observation.age.value / packedAgeUnit));
    }
    return bytes;
}

std::vector<TargetObservation> unpackObservations(std::string_view bytes)
{
    if (bytes.size() % packedBytes != 0)
        throw Error(
            ErrorKind::InvalidInput, "Packed observations have a wrong length", "Run the same version on all nodes");
    std::vector<TargetObservation> observations;
    for (; !bytes.empty(); bytes.remove_prefix(packedBytes)) {
        auto const at = [&bytes](size_t index) { return static_cast<uint8_t>(bytes[index]); };
        TargetObservation observation;
        for (unsigned index = 0; index < 4; ++index)
            observation.idHash |= static_cast<uint32_t>(at(index)) << (8 * index);
        observation.leaving = at(4) == packedLeaving;
        observation.slowdown = std::exp2((at(4) - slowdownOffset) / stepsPerDoubling);
        observation.age = { at(5) * packedAgeUnit };
        observations.push_back(std::move(observation));
    }
    return observations;
}

static Json::Value writeUpdateFields(RelayUpdate const& update)
{
    Json::Value body(Json::objectValue);
    body["revision"] = Json::UInt64 { update.position.revision };
    if (update.position.era)
        body["era"] = Json::UInt64 { update.position.era };
    body["ageMs"] = wholeMilliseconds(update.age);
    if (update.outageEnded)
        body["outageEndedMs"] = wholeMilliseconds(*update.outageEnded);
    if (update.connectedFor)
        body["connectedMs"] = wholeMilliseconds(*update.connectedFor);
    body["failureDomain"] = update.failureDomain;
    if (update.confirmedAge)
        body["confirmedMs"] = wholeMilliseconds(*update.confirmedAge);
    body["followers"] = update.followers;
    if (update.nodes)
        body["nodes"] = *update.nodes;
    if (auto limits = writeLimitArray(update.observations); !limits.empty())
        body["limits"] = std::move(limits);
    if (auto terminations = writeTerminationArray(update.observations); !terminations.empty())
        body["terminations"] = std::move(terminations);
    body["lastObservation"] = Json::UInt64 { update.lastObservation };
    return body;
}

std::string writeRelayUpdate(RelayUpdate const& update)
{
    auto body = writeUpdateFields(update);
    if (!update.observations.empty())
        body["observations"] = writeObservationArray(update.observations);
    for (auto const& event : update.events)
        body["entries"].append(event.source);
    return writeJson(body);
}

std::string compressEntries(std::span<RegistryEvent const> events, RegistryCompactor const& compact)
{
    if (events.empty())
        return {};
    std::ostringstream compressed;
    Poco::DeflatingOutputStream stream(compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    // A truncated stream can look complete to the reader, so the number of entries comes first.
    stream << events.size() << '\n';
    for (auto const& event : events)
        stream << compact(event.source) << '\n';
    stream.close();
    return compressed.str();
}

std::string writeCompactUpdate(RelayUpdate const& update, std::string_view compressedEntries)
{
    auto fields = writeUpdateFields(update);
    if (!update.observations.empty())
        fields["packed"] = encodeBase64(packObservations(update.observations));
    auto body = writeJson(fields);
    body += '\n';
    body += compressedEntries;
    return body;
}

static std::string expandEntries(std::string_view compressed)
{
    Poco::MemoryInputStream source(compressed.data(), static_cast<std::streamsize>(compressed.size()));
    Poco::InflatingInputStream stream(source, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string text;
    std::array<char, 16384> buffer;
    while (stream.good() && text.size() <= maximumEntryBytes) {
        stream.read(buffer.data(), buffer.size());
        text.append(buffer.data(), static_cast<size_t>(stream.gcount()));
    }
    if (stream.bad() || text.size() > maximumEntryBytes || (!text.empty() && text.back() != '\n'))
        throw Error(ErrorKind::InvalidInput, "The entries cannot be decompressed", "Run the same version on all nodes");
    return text;
}

static RelayUpdate readUpdateFields(Json::Value const& document)
{
    if (!document.isObject() || !document["revision"].isUInt64() || !document["ageMs"].isUInt64()
        || !document["failureDomain"].isString())
        throw Error(ErrorKind::InvalidInput, "A relay's answer lacks revision, ageMs or failureDomain",
            "Run the same version on all nodes");
    RelayUpdate update;
    update.status = RegistryStatus::Ok;
    update.position.revision = document["revision"].asUInt64();
    if (document["era"].isUInt64())
        update.position.era = document["era"].asUInt64();
    update.age = { document["ageMs"].asDouble() };
    if (document["outageEndedMs"].isUInt64())
        update.outageEnded = Milliseconds { document["outageEndedMs"].asDouble() };
    if (document["connectedMs"].isUInt64())
        update.connectedFor = Milliseconds { document["connectedMs"].asDouble() };
    update.failureDomain = document["failureDomain"].asString();
    // Rounded down by the sender.
    if (document["confirmedMs"].isUInt64())
        update.confirmedAge = Milliseconds { document["confirmedMs"].asDouble() + 1 };
    if (document["followers"].isUInt())
        update.followers = document["followers"].asUInt();
    if (document["nodes"].isUInt())
        update.nodes = document["nodes"].asUInt();
    if (document["lastObservation"].isUInt64())
        update.lastObservation = document["lastObservation"].asUInt64();
    update.observations = readObservationArray(document["observations"]);
    readLimitArray(document["limits"], update.observations);
    readTerminationArray(document["terminations"], update.observations);
    return update;
}

RelayUpdate readCompactUpdate(std::string_view body, RegistryDecoder const& decode)
{
    auto const end = body.find('\n');
    if (end == std::string_view::npos)
        throw Error(ErrorKind::InvalidInput, "A relay's answer has no entries", "Run the same version on all nodes");
    auto const fields = parseJson(body.substr(0, end));
    auto update = readUpdateFields(fields);
    if (fields["packed"].isString()) {
        auto const packed = unpackObservations(decodeBase64(fields["packed"].asString()));
        update.observations.insert(update.observations.end(), packed.begin(), packed.end());
    }
    auto const compressed = body.substr(end + 1);
    if (compressed.empty())
        return update;
    std::string text;
    try {
        text = expandEntries(compressed);
    } catch (Poco::Exception const& exception) {
        throw Error(ErrorKind::InvalidInput, "The entries cannot be decompressed: " + exception.displayText(),
            "Run the same version on all nodes");
    }
    std::vector<std::string_view> lines;
    for (std::string_view rest = text; !rest.empty(); rest.remove_prefix(lines.back().size() + 1))
        lines.push_back(rest.substr(0, rest.find('\n')));
    if (lines.empty() || lines.front() != std::to_string(lines.size() - 1))
        throw Error(ErrorKind::InvalidInput, "A relay's answer lacks entries", "Run the same version on all nodes");
    for (size_t index = 1; index < lines.size(); ++index) {
        if (auto event = decode(std::string(lines[index])))
            update.events.push_back(std::move(*event));
    }
    return update;
}

RelayUpdate readRelayUpdate(std::string_view body, RegistryDecoder const& decode)
{
    auto const document = parseJson(body);
    auto update = readUpdateFields(document);
    for (auto const& entry : document["entries"]) {
        if (!entry.isString())
            throw Error(ErrorKind::InvalidInput, "A relay's entry is not a text", "Run the same version on all nodes");
        if (auto event = decode(entry.asString()))
            update.events.push_back(std::move(*event));
    }
    return update;
}

} // namespace Toucan
