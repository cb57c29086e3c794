#include "Bench/KeyValueStore.h"

#include "Base/Base64.h"
#include "Base/Error.h"
#include <algorithm>
#include <charconv>

namespace Toucan {

static constexpr size_t valueLimitBytes = 1 << 20;

static Error unsupported(std::string const& what)
{
    return { ErrorKind::InvalidInput, what, "Use the subset of the gateway that docs/design.md lists in section 3.3" };
}

static uint64_t readNumber(Json::Value const& object, char const* member)
{
    Json::Value const& value = object[member];
    if (value.isNull())
        return 0;
    if (value.isUInt64())
        return value.asUInt64();
    std::string const text = value.isString() ? value.asString() : "";
    uint64_t number = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        throw unsupported(std::string("Member '") + member + "' is not a number");
    return number;
}

static std::string readBytes(Json::Value const& object, char const* member)
{
    if (!object.isObject() || !(object[member].isNull() || object[member].isString()))
        throw unsupported(std::string("Member '") + member + "' is not Base64 text");
    return decodeBase64(object[member].asString());
}

static Json::Value writeKeyValue(
    std::string const& key, std::string const& value, uint64_t createRevision, uint64_t revision, uint64_t version)
{
    Json::Value result;
    result["key"] = encodeBase64(key);
    result["create_revision"] = std::to_string(createRevision);
    result["mod_revision"] = std::to_string(revision);
    result["version"] = std::to_string(version);
    if (!value.empty())
        result["value"] = encodeBase64(value);
    return result;
}

Json::Value KeyValueStore::header() const
{
    Json::Value header;
    header["revision"] = std::to_string(this->currentRevision);
    return header;
}

std::string KeyValueStore::rangeEnd(Json::Value const& request, std::string const& first)
{
    std::string const end = readBytes(request, "range_end");
    return end.empty() ? first + '\0' : end;
}

static bool inRange(std::string const& key, std::string const& first, std::string const& end)
{
    return key >= first && (end == std::string(1, '\0') || key < end);
}

Json::Value KeyValueStore::range(Json::Value const& request) const
{
    std::string const first = readBytes(request, "key");
    std::string const end = rangeEnd(request, first);
    Json::Value answer;
    answer["header"] = this->header();
    uint64_t count = 0;
    for (auto entry = this->entries.lower_bound(first); entry != this->entries.end(); ++entry) {
        auto const& [key, value] = *entry;
        if (!inRange(key, first, end))
            break;
        answer["kvs"].append(writeKeyValue(key, value.value, value.createRevision, value.revision, value.version));
        ++count;
    }
    if (count)
        answer["count"] = std::to_string(count);
    return answer;
}

bool KeyValueStore::isSatisfied(Json::Value const& comparison) const
{
    if (!comparison.isObject() || comparison["target"] != "MOD")
        throw unsupported("A comparison has another target than MOD");
    if (!comparison["result"].isNull() && comparison["result"] != "EQUAL")
        throw unsupported("A comparison has another result than EQUAL");
    auto const found = this->entries.find(readBytes(comparison, "key"));
    uint64_t const revision = found == this->entries.end() ? 0 : found->second.revision;
    return revision == readNumber(comparison, "mod_revision");
}

void KeyValueStore::checkPut(Json::Value const& put) const
{
    if (readBytes(put, "key").empty())
        throw unsupported("A put has no key");
    if (readBytes(put, "value").size() > valueLimitBytes)
        throw Error(ErrorKind::LimitExceeded, "etcdserver: request is too large", "Keep values within 1 MB");
    uint64_t const lease = readNumber(put, "lease");
    if (lease && !this->leases.contains(lease))
        throw Error(ErrorKind::NotFound, "etcdserver: requested lease not found", "Grant a new lease");
}

void KeyValueStore::put(Json::Value const& put)
{
    std::string const key = readBytes(put, "key");
    Entry& entry = this->entries[key];
    if (auto const old = this->leases.find(entry.lease); old != this->leases.end())
        old->second.keys.erase(key);
    entry.value = readBytes(put, "value");
    entry.revision = this->currentRevision;
    if (!entry.createRevision)
        entry.createRevision = entry.revision;
    ++entry.version;
    entry.lease = readNumber(put, "lease");
    if (entry.lease)
        this->leases[entry.lease].keys.insert(key);
    this->events.emplace_back(
        Event { key, entry.value, entry.revision, entry.createRevision, entry.version, Event::Type::Put });
}

Json::Value KeyValueStore::transact(Json::Value const& request, Milliseconds now)
{
    this->expireLeases(now);
    if (!request.isObject())
        throw unsupported("A transaction is not an object");
    bool succeeded = true;
    for (auto const& comparison : request["compare"])
        succeeded = this->isSatisfied(comparison) && succeeded;
    Json::Value const& operations = request[succeeded ? "success" : "failure"];
    for (auto const& operation : operations) {
        if (!operation.isObject() || !operation["request_put"].isObject())
            throw unsupported("A transaction has another operation than request_put");
        this->checkPut(operation["request_put"]);
    }
    if (!operations.empty())
        ++this->currentRevision;
    Json::Value answer;
    for (auto const& operation : operations) {
        this->put(operation["request_put"]);
        Json::Value response;
        response["response_put"]["header"] = this->header();
        answer["responses"].append(response);
    }
    answer["header"] = this->header();
    if (succeeded)
        answer["succeeded"] = true;
    return answer;
}

Json::Value KeyValueStore::grantLease(Json::Value const& request, Milliseconds now)
{
    uint64_t const seconds = readNumber(request, "TTL");
    if (!seconds)
        throw unsupported("A lease without TTL");
    uint64_t id = readNumber(request, "ID");
    if (!id)
        id = this->nextLease++;
    if (this->leases.contains(id))
        throw unsupported("etcdserver: lease already exists");
    Milliseconds const duration { static_cast<double>(seconds) * 1000 };
    this->leases.emplace(id, Lease { duration, now + duration, {} });
    Json::Value answer;
    answer["header"] = this->header();
    answer["ID"] = std::to_string(id);
    answer["TTL"] = std::to_string(seconds);
    return answer;
}

Json::Value KeyValueStore::keepLeaseAlive(Json::Value const& request, Milliseconds now)
{
    this->expireLeases(now);
    uint64_t const id = readNumber(request, "ID");
    Json::Value answer;
    answer["header"] = this->header();
    answer["ID"] = std::to_string(id);
    // An answer without TTL means that the lease has expired or does not exist.
    if (auto const lease = this->leases.find(id); lease != this->leases.end()) {
        lease->second.end = now + lease->second.duration;
        answer["TTL"] = std::to_string(static_cast<uint64_t>(lease->second.duration.value / 1000));
    }
    return answer;
}

Json::Value KeyValueStore::revokeLease(Json::Value const& request)
{
    auto const lease = this->leases.find(readNumber(request, "ID"));
    if (lease == this->leases.end())
        throw Error(ErrorKind::NotFound, "etcdserver: requested lease not found", "It has ended already");
    this->removeLease(lease);
    Json::Value answer;
    answer["header"] = this->header();
    return answer;
}

void KeyValueStore::removeLease(std::map<uint64_t, Lease>::iterator lease)
{
    if (!lease->second.keys.empty())
        ++this->currentRevision;
    for (auto const& key : lease->second.keys) {
        this->entries.erase(key);
        this->events.emplace_back(Event { key, {}, this->currentRevision, 0, 0, Event::Type::Delete });
    }
    this->leases.erase(lease);
}

bool KeyValueStore::expireLeases(Milliseconds now)
{
    bool removed = false;
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        auto const current = lease++;
        if (current->second.end > now)
            continue;
        removed = removed || !current->second.keys.empty();
        this->removeLease(current);
    }
    return removed;
}

size_t KeyValueStore::positionOf(uint64_t revision) const
{
    auto const found = std::lower_bound(this->events.begin(), this->events.end(), revision,
        [](Event const& event, uint64_t wanted) { return event.revision < wanted; });
    return static_cast<size_t>(found - this->events.begin());
}

Json::Value KeyValueStore::eventsFrom(size_t position, std::string const& first, std::string const& end) const
{
    Json::Value list(Json::arrayValue);
    for (; position < this->events.size(); ++position) {
        Event const& event = this->events[position];
        if (!inRange(event.key, first, end))
            continue;
        Json::Value item;
        if (event.type == Event::Type::Delete)
            item["type"] = "DELETE";
        item["kv"] = writeKeyValue(event.key, event.value, event.createRevision, event.revision, event.version);
        list.append(item);
    }
    return list;
}

} // namespace Toucan
