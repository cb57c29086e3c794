#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Toucan {

/// Key-value store with revisions, leases and a history of changes as in etcd v3; the state of PlatformStandIn.
/// Requests and answers are the JSON bodies of etcd's gRPC gateway. Has no I/O; not thread-safe.
class KeyValueStore {
public:
    /// One change of a key, for watches. A deletion has no value, and its createRevision and version are 0.
    struct Event {
        std::string key;
        std::string value;
        uint64_t revision { 0 };
        uint64_t createRevision { 0 };
        uint64_t version { 0 };
        enum class Type {
            Put,
            Delete,
        } type { Type::Put };
    };

    /// Each of these calls throws Error of kind InvalidInput when the request is not in the supported subset,
    /// LimitExceeded when a value is over 1 MiB, and NotFound when a put or revokeLease() names a lease that does not
    /// exist. keepLeaseAlive() answers without "TTL" for such a lease.
    Json::Value range(Json::Value const& request) const;
    Json::Value transact(Json::Value const& request, Milliseconds now);
    Json::Value grantLease(Json::Value const& request, Milliseconds now);
    Json::Value keepLeaseAlive(Json::Value const& request, Milliseconds now);
    Json::Value revokeLease(Json::Value const& request);
    /// Removes expired leases and their keys. Returns whether any key was removed.
    bool expireLeases(Milliseconds now);

    uint64_t revision() const { return this->currentRevision; }
    /// Position after the newest event.
    size_t eventCount() const { return this->events.size(); }
    /// Position of the first event with at least this revision.
    size_t positionOf(uint64_t revision) const;
    /// Events from `position` on whose keys lie in [first, end), in the form of watch messages.
    Json::Value eventsFrom(size_t position, std::string const& first, std::string const& end) const;
    Json::Value header() const;

    /// Exclusive upper end of the key range of a request. Without "range_end" the range is the key `first` alone; the
    /// end "\0" stands for all keys from `first` on.
    static std::string rangeEnd(Json::Value const& request, std::string const& first);

private:
    struct Entry {
        std::string value;
        uint64_t createRevision { 0 };
        uint64_t revision { 0 };
        uint64_t version { 0 };
        uint64_t lease { 0 };
    };
    struct Lease {
        Milliseconds duration;
        Milliseconds end;
        std::set<std::string> keys;
    };

    bool isSatisfied(Json::Value const& comparison) const;
    void checkPut(Json::Value const& put) const;
    void put(Json::Value const& put);
    void removeLease(std::map<uint64_t, Lease>::iterator lease);

    std::map<std::string, Entry> entries;
    std::map<uint64_t, Lease> leases;
    std::vector<Event> events;
    uint64_t currentRevision { 1 };
    uint64_t nextLease { 1 };
};

} // namespace Toucan
