#include "Engine/DigestExchange.h"

#include "Base/Hash.h"
#include "Engine/FrameCodec.h"

#include <algorithm>

namespace Toucan {

/// With 8 instead of 5 entries, a digest would have about 1,060 bytes, and four digests per second would leave no
/// bandwidth for configuration changes within the limit of 5 KB/s per node.
static constexpr size_t memberEntriesPerDigest = 5;
static constexpr uint32_t leavingTargetsPerDigest = 32;
/// A target that no reader of the VM list has confirmed as leaving for this time is no longer sent.
static constexpr auto leavingLifetime = 10'000_ms;

DigestExchange::DigestExchange(Hooks exchangeHooks)
    : hooks(std::move(exchangeHooks))
{
}

uint64_t DigestExchange::ownershipHash() const
{
    std::string text;
    // `until` and the revision change with each extension and are left out, so that extensions cause no traffic.
    for (auto const& [range, record] : this->hooks.ownership()) {
        text += std::to_string(range) + '/' + record.owner + '/' + std::to_string(record.incarnation) + '/'
            + std::to_string(record.from) + ';';
    }
    return hash64(text);
}

Json::Value DigestExchange::ownershipTable() const
{
    Json::Value table(Json::arrayValue);
    for (auto const& [range, record] : this->hooks.ownership())
        table.append(FrameCodec::encodeOwnershipRecord(record));
    return table;
}

void DigestExchange::send(std::string const& peer, Milliseconds now)
{
    Json::Value frame;
    frame["kind"] = "digest";
    frame["self"] = FrameCodec::encodePeer(this->hooks.self());
    frame["version"] = static_cast<Json::UInt64>(this->hooks.configurationVersion());
    frame["ownership"] = static_cast<Json::UInt64>(this->ownershipHash());
    for (auto const& member : this->hooks.memberEntries(memberEntriesPerDigest))
        frame["members"].append(FrameCodec::encodePeer(member));
    for (auto const& [target, seen] : this->leaving) {
        auto const age = now - seen;
        if (age > leavingLifetime || frame["leaving"].size() >= leavingTargetsPerDigest)
            continue;
        Json::Value entry(Json::arrayValue);
        entry.append(target);
        entry.append(age.value);
        frame["leaving"].append(std::move(entry));
    }
    this->hooks.send(peer, std::move(frame));
}

void DigestExchange::sendRecord(std::string const& peer, OwnershipRecord const& record)
{
    Json::Value frame;
    frame["kind"] = "digest";
    frame["self"] = FrameCodec::encodePeer(this->hooks.self());
    frame["version"] = static_cast<Json::UInt64>(this->hooks.configurationVersion());
    frame["table"].append(FrameCodec::encodeOwnershipRecord(record));
    this->hooks.send(peer, std::move(frame));
}

void DigestExchange::receive(std::string const& peer, Json::Value const& frame, Milliseconds now)
{
    for (auto const& record : frame["table"])
        this->hooks.record(FrameCodec::decodeOwnershipRecord(record));
    for (auto const& member : frame["members"])
        this->hooks.memberReceived(FrameCodec::decodePeer(member));
    this->readLeavingTargets(frame["leaving"], now);
    this->hooks.peerVersion(peer, frame["version"].asUInt64());
    if (!frame.isMember("ownership") || frame["ownership"].asUInt64() == this->ownershipHash())
        return;
    Json::Value reply;
    reply["kind"] = "digest";
    reply["self"] = FrameCodec::encodePeer(this->hooks.self());
    reply["version"] = static_cast<Json::UInt64>(this->hooks.configurationVersion());
    reply["table"] = this->ownershipTable();
    // The reply carries no ownership hash, so that the peer does not reply to it.
    this->hooks.send(peer, std::move(reply));
}

void DigestExchange::readLeavingTargets(Json::Value const& entries, Milliseconds now)
{
    for (auto const& entry : entries) {
        if (entry.size() != 2)
            continue;
        auto const seen = now - Milliseconds { std::max(0.0, entry[1].asDouble()) };
        if (now - seen > leavingLifetime)
            continue;
        auto const target = entry[0].asString();
        auto& known = this->leaving[target];
        known = std::max(known, seen);
        this->hooks.targetLeaving(target);
    }
}

void DigestExchange::setLeavingTargets(std::vector<std::string> const& names, Milliseconds now)
{
    this->leaving.clear();
    for (auto const& name : names) {
        this->leaving[name] = now;
        // Other nodes are notified by digest, this node only here.
        this->hooks.targetLeaving(name);
    }
}

} // namespace Toucan
