#include "Node/OwnershipStore.h"

#include "Base/Error.h"
#include "Base/Json.h"
#include <charconv>
#include <string_view>

namespace Toucan {

static constexpr std::string_view keyPrefix = "ownership/";
/// Attempts to write one record while answers are lost.
static constexpr size_t writeAttempts = 2;

static bool sameLease(OwnershipRecord const& left, OwnershipRecord const& right)
{
    return left.range == right.range && left.owner == right.owner && left.incarnation == right.incarnation
        && left.from == right.from && left.until == right.until;
}

OwnershipStore::OwnershipStore(StoreClient& client)
    : client(client)
{
}

std::string OwnershipStore::keyOf(uint32_t range) { return std::string(keyPrefix) + std::to_string(range); }

std::string OwnershipStore::encode(OwnershipRecord const& record)
{
    Json::Value value;
    value["owner"] = record.owner;
    value["incarnation"] = static_cast<Json::UInt64>(record.incarnation);
    value["from"] = static_cast<Json::UInt64>(record.from);
    value["until"] = static_cast<Json::UInt64>(record.until);
    return writeJson(value);
}

std::optional<OwnershipRecord> OwnershipStore::decode(StoreValue const& value)
{
    if (!value.key.starts_with(keyPrefix))
        return std::nullopt;
    OwnershipRecord record;
    char const* const end = value.key.data() + value.key.size();
    auto const [parsed, error] = std::from_chars(value.key.data() + keyPrefix.size(), end, record.range);
    if (error != std::errc() || parsed != end)
        return std::nullopt;
    try {
        Json::Value const json = parseJson(value.value);
        if (!json.isObject() || !json["owner"].isString() || !json["incarnation"].isUInt64() || !json["from"].isUInt64()
            || !json["until"].isUInt64())
            return std::nullopt;
        record.owner = json["owner"].asString();
        record.incarnation = json["incarnation"].asUInt64();
        record.from = json["from"].asUInt64();
        record.until = json["until"].asUInt64();
    } catch (Error const&) {
        return std::nullopt;
    }
    record.revision = value.revision;
    return record;
}

std::vector<OwnershipRecord> OwnershipStore::readAll()
{
    std::vector<OwnershipRecord> records;
    for (auto const& value : this->client.getPrefix(std::string(keyPrefix))) {
        if (auto record = decode(value))
            records.emplace_back(std::move(*record));
    }
    return records;
}

OwnershipStore::WriteOutcome OwnershipStore::write(OwnershipRecord const& next, uint64_t expectedRevision)
{
    WriteOutcome outcome;
    for (size_t attempt = 0; attempt < writeAttempts; ++attempt) {
        outcome = this->tryWrite(next, expectedRevision, attempt > 0);
        if (outcome.result != KeyOwner::WriteResult::Unknown || !outcome.reachable)
            break;
    }
    return outcome;
}

OwnershipStore::WriteOutcome OwnershipStore::tryWrite(
    OwnershipRecord const& next, uint64_t expectedRevision, bool mayHaveBeenWritten)
{
    try {
        auto const revision = this->client.transactForRevision(
            { { keyOf(next.range), expectedRevision } }, { { keyOf(next.range), encode(next) } });
        if (revision) {
            WriteOutcome accepted { KeyOwner::WriteResult::Accepted, next, true };
            accepted.current->revision = *revision;
            return accepted;
        }
    } catch (Error const& error) {
        if (error.kind() != ErrorKind::Timeout)
            return {};
        return this->readBack(next, expectedRevision);
    }
    WriteOutcome outcome = this->readBack(next, expectedRevision);
    if (!mayHaveBeenWritten)
        outcome.result = KeyOwner::WriteResult::Conflict;
    return outcome;
}

OwnershipStore::WriteOutcome OwnershipStore::readBack(OwnershipRecord const& next, uint64_t expectedRevision)
{
    WriteOutcome outcome;
    try {
        auto const value = this->client.get(keyOf(next.range));
        outcome.reachable = true;
        if (value)
            outcome.current = decode(*value);
        uint64_t const revision = value ? value->revision : 0;
        if (outcome.current && revision != expectedRevision && sameLease(*outcome.current, next))
            outcome.result = KeyOwner::WriteResult::Accepted;
        else if (revision != expectedRevision)
            outcome.result = KeyOwner::WriteResult::Conflict;
    } catch (Error const&) {
        outcome.reachable = false;
    }
    return outcome;
}

} // namespace Toucan
