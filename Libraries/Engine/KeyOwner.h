#pragma once

#include "Configuration/Configuration.h"
#include "Engine/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Toucan {

/// Lease of one key range as stored in the store. Only `owner` may accept or refuse keys with from <= key time < until.
struct OwnershipRecord {
    uint32_t range { 0 };
    std::string owner;
    /// Start time of the owner's process in wall-clock milliseconds.
    uint64_t incarnation { 0 };
    /// Key times are the 48-bit wall-clock milliseconds of UUIDv7.
    uint64_t from { 0 };
    uint64_t until { 0 };
    /// mod_revision in the store; not part of the stored value; 0 when the key does not exist.
    uint64_t revision { 0 };
};

/// Time field of a UUIDv7 (RFC 9562, section 5.7) in Unix milliseconds; empty when the text is not a UUIDv7.
std::optional<uint64_t> requestKeyTime(std::string_view key);
/// Index of the key's range, from a hash of the key; `ranges` is the number of ranges.
uint32_t keyRange(std::string_view key, uint32_t ranges);

/// At-most-once execution of commands for the key ranges that this node owns, and the state machine that claims,
/// extends and releases ranges. Has no I/O; not thread-safe.
class KeyOwner {
public:
    struct Hooks {
        /// Compare-and-swap of one record; the answer comes back through onWriteResult().
        std::function<void(OwnershipRecord const& next, uint64_t expectedRevision)> write;
        /// Runs the command (Coordinator::startCommand); ends with onCommandFinished().
        std::function<void(CommandRequest const&)> run;
        /// Sends the result to the node and request that submitted the command.
        std::function<void(std::string const& sender, CommandResult&&)> reply;
        /// Whether the node is usable according to Membership, so that it can be expected to claim its ranges.
        std::function<bool(std::string const& node)> isUsable;
    };
    enum class WriteResult {
        Accepted,
        Conflict,
        /// The answer was lost or the store is down; the record must be read back.
        Unknown,
    };

    KeyOwner(Hooks hooks, std::string nodeName, uint64_t incarnation);
    ~KeyOwner();

    void setConfiguration(ConfigurationPointer configuration, Milliseconds now);
    /// `sender` identifies the submitting node and request for Hooks::reply, in the form "node|correlation".
    void submit(std::string const& sender, CommandRequest&& command, Milliseconds now);
    void onCommandFinished(CommandResult&& result, Milliseconds now);
    /// Records read from the store or received from peers; older revisions are ignored.
    void onRecord(OwnershipRecord const& record, Milliseconds now);
    /// `current` is the record in the store when it is known.
    void onWriteResult(uint32_t range, WriteResult result, std::optional<OwnershipRecord> current, Milliseconds now);
    /// Planned stop: claims no more ranges, and releases each range once its running commands have ended.
    void release(Milliseconds now);
    /// True when no lease of this node delays a successor, or 5 s after release() although releases are not confirmed
    /// and leases may remain.
    bool isReleaseFinished() const;
    /// Node that may accept or refuse the key: this node when the key is invalid or in an interval that this node owns
    /// or owned, else the owner in the latest known record; empty when that record does not cover the key.
    std::string ownerOf(std::string_view key) const;
    std::map<uint32_t, OwnershipRecord> const& records() const;
    /// `wallClock` is used only to propose `until`; safety does not depend on it.
    void advance(Milliseconds now, Milliseconds wallClock);
    Milliseconds nextWakeup() const;
    Json::Value describe() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
