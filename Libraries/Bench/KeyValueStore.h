#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Toucan {

/// Keys with revisions, leases and a history of changes, as etcd v3 describes them; the state behind PlatformStandIn.
/// Requests and answers are the JSON bodies of the gateway. Has no I/O; not thread-safe.
class KeyValueStore {
public:
    /// One change of a key, for watches.
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

    /// Each method throws Error: InvalidInput when the request is not part of the served subset, LimitExceeded when a
    /// value is over 1 MiB, NotFound when a lease does not exist.
    Json::Value range(Json::Value const& request) const;
    Json::Value transact(Json::Value const& request, Milliseconds now);
    Json::Value grantLease(Json::Value const& request, Milliseconds now);
    Json::Value keepLeaseAlive(Json::Value const& request, Milliseconds now);
    Json::Value revokeLease(Json::Value const& request);
    /// Removes the keys of leases that ended. Returns whether any key was removed.
    bool expireLeases(Milliseconds now);

    uint64_t revision() const { return this->currentRevision; }
    /// Position behind the newest event.
    size_t eventCount() const { return this->events.size(); }
    /// Position of the first event with at least this revision.
    size_t positionOf(uint64_t revision) const;
    /// Events from a position on whose keys lie in [first, end), as watch messages list them.
    Json::Value eventsAfter(size_t position, std::string const& first, std::string const& end) const;
    Json::Value header() const;

    /// Upper end of a key range as the gateway gives it: absent for the one key, "\0" for all further keys.
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

    bool holds(Json::Value const& comparison) const;
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
