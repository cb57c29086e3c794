#include "Engine/KeyOwner.h"

#include "Base/Hash.h"
#include "Engine/CommandRefusals.h"
#include "Engine/DispatcherAssignment.h"
#include "Engine/Outbox.h"
#include "Engine/RangeOwnership.h"
#include "Engine/RequestKeyTable.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace Toucan {

static constexpr Milliseconds tickInterval { 100 };
/// Time for membership to find the live nodes before ranges without a record are claimed.
static constexpr Milliseconds initialClaimDelay { 500 };
/// Milliseconds for which finished keys and past intervals are kept.
static constexpr uint64_t keyRetention = 600000;
/// A stopping owner accepts new commands for this long; later ones are refused, so that its ranges become idle.
static constexpr Milliseconds acceptGracePeriod { 1000 };
/// A stopping node waits this long for the store to confirm its releases; other ranges are left to expire.
static constexpr Milliseconds releaseTimeout { 5000 };

/// A preferred claimant, a node that precedes this one in the range's claim order, must have been alive this long
/// before the range is returned to it.
static constexpr Milliseconds minimumClaimantUptime { 3000 };
/// At most one range is returned in this time, so that few keys are without an owner at once.
static constexpr Milliseconds returnInterval { 1000 };

class KeyOwner::Implementation {
public:
    /// A command whose key is in no known interval yet.
    struct PendingCommand {
        std::string sender;
        CommandRequest command;
        Milliseconds deadline;
    };
    struct KeyTimer {
        Milliseconds deadline;
        std::string key;
        bool operator<(KeyTimer const& other) const
        {
            return std::tie(this->deadline, this->key) < std::tie(other.deadline, other.key);
        }
    };

    Implementation(Hooks hooks, std::string nodeName, uint64_t incarnation)
        : hooks(std::move(hooks))
        , nodeName(std::move(nodeName))
        , incarnation(incarnation)
    {
    }

    void setConfiguration(ConfigurationPointer&& next, Milliseconds now)
    {
        this->configuration = std::move(next);
        if (this->ranges.empty()) {
            this->claimsAllowedSince = now + initialClaimDelay;
            // The number of ranges is fixed at startup: two nodes that map a key to different ranges could both run its
            // command.
            for (uint32_t range = 0; range < std::max(1U, this->configuration->fleet.keyRanges); ++range)
                this->ranges.emplace_back(range, this->nodeName, this->incarnation);
        }
        this->claimOrders.clear();
        for (uint32_t range = 0; range < this->ranges.size(); ++range)
            this->claimOrders.push_back(
                rendezvousOrder(this->configuration->fleet, "ownership/" + std::to_string(range)));
        for (auto const& [range, record] : std::exchange(this->earlyRecords, {}))
            this->onRecord(record, now);
    }

    bool deduplicates(CommandRequest const& command) const
    {
        auto const* service = this->configuration ? this->configuration->service(command.service) : nullptr;
        return !service || this->configuration->ruleOf(*service).atMostOnce == Feature::On;
    }

    void submit(std::string const& sender, CommandRequest&& command, Milliseconds now)
    {
        auto const deadline = now + command.remaining;
        auto const time = requestKeyTime(command.requestKey);
        if (!time)
            return this->reply(sender, invalidRequestKey(command));
        if (!this->deduplicates(command)) {
            this->undeduplicated.emplace(command.requestKey, KeyWaiter { sender, command.requestId, deadline });
            return this->run(std::move(command));
        }
        if (this->ranges.empty()) {
            this->awaitInterval({ sender, std::move(command), deadline });
            return;
        }
        if (auto* entry = this->requestKeys.find(command.requestKey))
            return this->handleDuplicate(*entry, sender, command, deadline);
        this->decideNewKey({ sender, std::move(command), deadline }, *time, now);
    }

    static uint64_t fingerprintOf(CommandRequest const& command)
    {
        auto const seed = hash64(command.record, hash64(command.service));
        return command.body ? hash64(*command.body, seed) : seed;
    }

    void handleDuplicate(
        KeyEntry& entry, std::string const& sender, CommandRequest const& command, Milliseconds deadline)
    {
        ++this->duplicates;
        if (entry.fingerprint != fingerprintOf(command))
            return this->reply(sender, reusedRequestKey(command));
        if (entry.finished) {
            auto result = entry.result;
            result.requestId = command.requestId;
            return this->reply(sender, std::move(result));
        }
        this->addWaiter(entry, command.requestKey, { sender, command.requestId, deadline });
    }

    void addWaiter(KeyEntry& entry, std::string const& key, KeyWaiter&& waiter)
    {
        this->timers.insert({ waiter.deadline, key });
        entry.waiters.push_back(std::move(waiter));
    }

    /// Accepts, refuses or queues a command with an unknown key.
    void decideNewKey(PendingCommand&& pending, uint64_t time, Milliseconds now)
    {
        if (this->requestKeys.mayHaveBeenEvicted(time))
            return this->reply(pending.sender, expiredRequestKey(pending.command));
        auto const range = this->rangeOf(pending.command.requestKey);
        auto& ownership = this->ranges[range];
        if (ownership.owns(time))
            return this->accept(std::move(pending), range, time, now);
        auto const& record = ownership.latestRecord();
        if (!record || time >= record->until || this->isBeingReleased(range, time))
            return this->awaitInterval(std::move(pending));
        if (!ownership.isRecordOwner())
            return this->reply(pending.sender, notOwner(pending.command));
        this->reply(pending.sender, expiredRequestKey(pending.command));
    }

    /// Whether a release is in progress that leaves the key to the next owner.
    bool isBeingReleased(uint32_t range, uint64_t time) const
    {
        auto const& ownership = this->ranges[range];
        return ownership.isReleasing() && ownership.isRecordOwner() && time >= ownership.latestRecord()->from;
    }

    void accept(PendingCommand&& pending, uint32_t range, uint64_t time, Milliseconds now)
    {
        this->ranges[range].recordDecision(time);
        auto& command = pending.command;
        KeyEntry entry;
        entry.time = time;
        entry.range = range;
        entry.fingerprint = fingerprintOf(command);
        if (this->stopStarted && now - *this->stopStarted > acceptGracePeriod) {
            entry.finished = true;
            entry.result = nodeStopping(command);
            this->reply(pending.sender, CommandResult(entry.result));
            this->requestKeys.add(command.requestKey, std::move(entry));
            return;
        }
        auto& added = this->requestKeys.add(command.requestKey, std::move(entry));
        this->addWaiter(added, command.requestKey, { pending.sender, command.requestId, pending.deadline });
        command.remaining = pending.deadline - now;
        this->run(std::move(command));
    }

    void awaitInterval(PendingCommand&& pending)
    {
        this->pendingCommands.push_back(std::move(pending));
        std::push_heap(this->pendingCommands.begin(), this->pendingCommands.end(), endsLater);
    }

    static bool endsLater(PendingCommand const& left, PendingCommand const& right)
    {
        return left.deadline > right.deadline;
    }

    void retryPendingCommands(Milliseconds now)
    {
        auto commands = std::exchange(this->pendingCommands, {});
        for (auto& entry : commands) {
            auto const remaining = entry.deadline - now;
            entry.command.remaining = remaining;
            if (remaining > Milliseconds {})
                this->submit(entry.sender, std::move(entry.command), now);
            else
                this->reply(entry.sender, commandDeadlineExceeded(entry.command.requestKey, entry.command.requestId));
        }
    }

    void onCommandFinished(CommandResult&& result)
    {
        if (auto const found = this->findUndeduplicated(result); found != this->undeduplicated.end()) {
            auto const waiter = std::move(found->second);
            this->undeduplicated.erase(found);
            return this->reply(waiter.sender, std::move(result));
        }
        for (auto const& waiter : this->requestKeys.finish(result)) {
            auto copy = result;
            copy.requestId = waiter.requestId;
            this->reply(waiter.sender, std::move(copy));
        }
    }

    std::multimap<std::string, KeyWaiter>::iterator findUndeduplicated(CommandResult const& result)
    {
        auto [first, last] = this->undeduplicated.equal_range(result.requestKey);
        auto const found
            = std::find_if(first, last, [&](auto const& item) { return item.second.requestId == result.requestId; });
        return found == last ? this->undeduplicated.end() : found;
    }

    void onRecord(OwnershipRecord const& record, Milliseconds now)
    {
        if (this->ranges.empty()) {
            this->earlyRecords.insert_or_assign(record.range, record);
            return;
        }
        if (record.range >= this->ranges.size())
            return;
        auto const changed = this->ranges[record.range].onRecord(record);
        this->updateRecords(record.range);
        if (changed)
            this->retryPendingCommands(now);
    }

    void onWriteResult(uint32_t range, WriteResult result, std::optional<OwnershipRecord>&& current, Milliseconds now)
    {
        if (range >= this->ranges.size())
            return;
        this->ranges[range].onWriteResult(result, current, now);
        this->updateRecords(range);
        this->retryPendingCommands(now);
    }

    void updateRecords(uint32_t range)
    {
        if (auto const& record = this->ranges[range].latestRecord())
            this->records.insert_or_assign(range, *record);
    }

    std::optional<uint32_t> rankOf(uint32_t range) const
    {
        uint32_t rank = 0;
        for (auto const& name : this->claimOrders[range]) {
            if (name == this->nodeName)
                return rank;
            rank += this->hooks.isUsable(name) ? 1 : 0;
        }
        return std::nullopt;
    }

    void advance(Milliseconds now, Milliseconds wallClock)
    {
        this->wallClock = static_cast<uint64_t>(std::max(0.0, wallClock.value));
        this->currentTime = now;
        this->nextTick = now + tickInterval;
        this->requestKeys.evictBelow(this->wallClock > keyRetention ? this->wallClock - keyRetention : 0);
        for (uint32_t range = 0; range < this->ranges.size(); ++range)
            this->advanceRange(range, now);
        this->expireWaiters(now);
        if (!this->pendingCommands.empty() && this->pendingCommands.front().deadline <= now)
            this->retryPendingCommands(now);
    }

    /// Stops at the first live claimant, because rankOf() visits all nodes of the fleet.
    bool hasLivePreferredClaimant(uint32_t range) const
    {
        if (!this->configuration->fleet.nodes.contains(this->nodeName))
            return false;
        for (auto const& name : this->claimOrders[range]) {
            if (name == this->nodeName)
                return false;
            if (this->hooks.isUsable(name))
                return true;
        }
        return false;
    }

    bool mayReturnRange(uint32_t range, Milliseconds now)
    {
        if (!this->hasLivePreferredClaimant(range)) {
            this->preferredClaimantSince.erase(range);
            return false;
        }
        auto const since = this->preferredClaimantSince.try_emplace(range, now).first->second;
        return now - since >= minimumClaimantUptime && now >= this->nextReturnOfAnyRange;
    }

    void advanceRange(uint32_t range, Milliseconds now)
    {
        RangeOwnership::Conditions conditions;
        conditions.now = now;
        conditions.wallClock = this->wallClock;
        conditions.rank = [this, range] { return this->rankOf(range); };
        conditions.mayReturnRange = this->mayReturnRange(range, now);
        conditions.claimsAllowedSince = this->claimsAllowedSince;
        conditions.nodeStopping = this->stopStarted.has_value();
        conditions.hasRunningCommands = this->requestKeys.hasRunning(range);
        this->ranges[range].dropIntervalsBelow(this->wallClock > keyRetention ? this->wallClock - keyRetention : 0);
        auto const proposal = this->ranges[range].nextWrite(conditions);
        if (!proposal)
            return;
        ++this->writes;
        if (proposal->kind == RangeOwnership::Proposal::Kind::Release)
            this->nextReturnOfAnyRange = now + returnInterval;
        this->outbox.post(
            [this, proposal = *proposal] { this->hooks.write(proposal.next, proposal.expectedRevision); });
    }

    void expireWaiters(Milliseconds now)
    {
        while (!this->timers.empty() && this->timers.begin()->deadline <= now) {
            auto const timer = this->timers.extract(this->timers.begin()).value();
            auto* entry = this->requestKeys.find(timer.key);
            if (!entry || entry->finished)
                continue;
            // The command continues to run; its result is kept for later duplicates.
            std::erase_if(entry->waiters, [&](KeyWaiter const& waiter) {
                if (waiter.deadline > now)
                    return false;
                this->reply(waiter.sender, commandDeadlineExceeded(timer.key, waiter.requestId));
                return true;
            });
        }
    }

    bool isReleaseFinished() const
    {
        if (this->stopStarted && this->currentTime - *this->stopStarted > releaseTimeout)
            return true;
        return std::ranges::all_of(
            this->ranges, [this](auto const& ownership) { return ownership.isReleased(this->wallClock); });
    }

    std::string ownerOf(std::string_view key) const
    {
        auto const time = requestKeyTime(key);
        // Any node may refuse an invalid key.
        if (!time)
            return this->nodeName;
        if (this->ranges.empty())
            return {};
        auto const& ownership = this->ranges[this->rangeOf(key)];
        if (ownership.owns(*time))
            return this->nodeName;
        auto const& record = ownership.latestRecord();
        auto const covers = record && record->from <= *time && *time < record->until;
        return covers ? record->owner : std::string();
    }

    uint32_t rangeOf(std::string_view key) const { return keyRange(key, static_cast<uint32_t>(this->ranges.size())); }

    void run(CommandRequest&& command)
    {
        this->outbox.post([this, command = std::move(command)] { this->hooks.run(command); });
    }

    void reply(std::string const& sender, CommandResult&& result)
    {
        this->outbox.post(
            [this, sender, result = std::move(result)]() mutable { this->hooks.reply(sender, std::move(result)); });
    }

    Milliseconds nextWakeup() const
    {
        auto next = this->nextTick;
        if (!this->timers.empty())
            next = std::min(next, this->timers.begin()->deadline);
        if (!this->pendingCommands.empty())
            next = std::min(next, this->pendingCommands.front().deadline);
        return next;
    }

    Json::Value describe() const
    {
        Json::Value result(Json::objectValue);
        result["rememberedKeys"] = Json::UInt64 { this->requestKeys.size() };
        result["waitingForInterval"] = Json::UInt64 { this->pendingCommands.size() };
        result["duplicates"] = Json::UInt64 { this->duplicates };
        result["writes"] = Json::UInt64 { this->writes };
        auto& owned = result["ownedRanges"] = Json::Value(Json::arrayValue);
        for (uint32_t range = 0; range < this->ranges.size(); ++range) {
            if (this->ranges[range].isRecordOwner())
                owned.append(range);
        }
        return result;
    }

    Hooks hooks;
    std::string nodeName;
    uint64_t incarnation;
    Outbox outbox;
    ConfigurationPointer configuration;
    std::vector<RangeOwnership> ranges;
    std::vector<std::vector<std::string>> claimOrders;
    /// Records that arrived before the first configuration, by range.
    std::map<uint32_t, OwnershipRecord> earlyRecords;
    std::map<uint32_t, OwnershipRecord> records;
    RequestKeyTable requestKeys;
    /// Heap with the earliest deadline first.
    std::vector<PendingCommand> pendingCommands;
    /// Running commands whose rule turns at-most-once execution off, by request key.
    std::multimap<std::string, KeyWaiter> undeduplicated;
    std::set<KeyTimer> timers;
    std::optional<Milliseconds> stopStarted;
    /// By range: the time since which a preferred claimant has been alive.
    std::map<uint32_t, Milliseconds> preferredClaimantSince;
    Milliseconds nextReturnOfAnyRange { -1e12 };
    Milliseconds claimsAllowedSince;
    Milliseconds nextTick;
    Milliseconds currentTime;
    uint64_t wallClock { 0 };
    uint64_t duplicates { 0 };
    uint64_t writes { 0 };
};

KeyOwner::KeyOwner(Hooks hooks, std::string nodeName, uint64_t incarnation)
    : implementation(std::make_unique<Implementation>(std::move(hooks), std::move(nodeName), incarnation))
{
}

KeyOwner::~KeyOwner() = default;

void KeyOwner::setConfiguration(ConfigurationPointer configuration, Milliseconds now)
{
    this->implementation->setConfiguration(std::move(configuration), now);
    this->implementation->retryPendingCommands(now);
    this->implementation->outbox.flush();
}

void KeyOwner::submit(std::string const& sender, CommandRequest&& command, Milliseconds now)
{
    this->implementation->submit(sender, std::move(command), now);
    this->implementation->outbox.flush();
}

void KeyOwner::onCommandFinished(CommandResult&& result, Milliseconds)
{
    this->implementation->onCommandFinished(std::move(result));
    this->implementation->outbox.flush();
}

void KeyOwner::onRecord(OwnershipRecord const& record, Milliseconds now)
{
    this->implementation->onRecord(record, now);
    this->implementation->outbox.flush();
}

void KeyOwner::onWriteResult(
    uint32_t range, WriteResult result, std::optional<OwnershipRecord> current, Milliseconds now)
{
    this->implementation->onWriteResult(range, result, std::move(current), now);
    this->implementation->outbox.flush();
}

void KeyOwner::release(Milliseconds now)
{
    if (!this->implementation->stopStarted)
        this->implementation->stopStarted = now;
    this->implementation->nextTick = now;
}

bool KeyOwner::isReleaseFinished() const { return this->implementation->isReleaseFinished(); }

std::string KeyOwner::ownerOf(std::string_view key) const { return this->implementation->ownerOf(key); }

std::map<uint32_t, OwnershipRecord> const& KeyOwner::records() const { return this->implementation->records; }

void KeyOwner::advance(Milliseconds now, Milliseconds wallClock)
{
    this->implementation->advance(now, wallClock);
    this->implementation->outbox.flush();
}

Milliseconds KeyOwner::nextWakeup() const { return this->implementation->nextWakeup(); }

Json::Value KeyOwner::describe() const { return this->implementation->describe(); }

} // namespace Toucan
