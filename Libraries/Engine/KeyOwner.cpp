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

static constexpr Milliseconds tickPeriod { 100 };
/// Lets membership learn who is alive before ranges without a record are claimed.
static constexpr Milliseconds firstClaimPause { 500 };
static constexpr uint64_t memorySpan = 600000;
/// After this time a stopping owner starts no new command, so that its range becomes idle.
static constexpr Milliseconds stopAcceptingAfter { 1000 };
/// A range whose give-up the store does not confirm in this time is left to lapse.
static constexpr Milliseconds giveUpBound { 5000 };

/// An earlier claimant must have been alive this long before a range is handed back to it.
static constexpr Milliseconds stableClaimant { 3000 };
/// At most one range is handed back in this time, so that few keys are undecided at once.
static constexpr Milliseconds handBackPeriod { 1000 };

class KeyOwner::Implementation {
public:
    /// A command whose key no known interval covers yet.
    struct Waiting {
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
            this->claimsAllowedSince = now + firstClaimPause;
            // The number of ranges stays as it was at the start: two nodes that hash keys differently could run one
            // key twice.
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
            this->waitForInterval({ sender, std::move(command), deadline });
            return;
        }
        if (auto* entry = this->memory.find(command.requestKey))
            return this->joinKnown(*entry, sender, command, deadline);
        this->decide({ sender, std::move(command), deadline }, *time, now);
    }

    static uint64_t fingerprintOf(CommandRequest const& command)
    {
        auto const seed = hash64(command.record, hash64(command.service));
        return command.body ? hash64(*command.body, seed) : seed;
    }

    void joinKnown(KeyEntry& entry, std::string const& sender, CommandRequest const& command, Milliseconds deadline)
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

    /// Decides about a key that is not remembered.
    void decide(Waiting&& waiting, uint64_t time, Milliseconds now)
    {
        if (this->memory.isForgotten(time))
            return this->reply(waiting.sender, expiredRequestKey(waiting.command));
        auto const range = this->rangeOf(waiting.command.requestKey);
        auto& ownership = this->ranges[range];
        if (ownership.owns(time))
            return this->accept(std::move(waiting), range, time, now);
        auto const& record = ownership.known();
        if (!record || time >= record->until || this->releasesPast(range, time))
            return this->waitForInterval(std::move(waiting));
        if (!ownership.isMine())
            return this->reply(waiting.sender, notOwner(waiting.command));
        this->reply(waiting.sender, expiredRequestKey(waiting.command));
    }

    /// A give-up is in flight that leaves the key to the successor.
    bool releasesPast(uint32_t range, uint64_t time) const
    {
        auto const& ownership = this->ranges[range];
        return ownership.isReleasing() && ownership.isMine() && time >= ownership.known()->from;
    }

    void accept(Waiting&& waiting, uint32_t range, uint64_t time, Milliseconds now)
    {
        this->ranges[range].noteDecided(time);
        auto& command = waiting.command;
        KeyEntry entry;
        entry.time = time;
        entry.range = range;
        entry.fingerprint = fingerprintOf(command);
        if (this->stopBegan && now - *this->stopBegan > stopAcceptingAfter) {
            entry.finished = true;
            entry.result = nodeStopping(command);
            this->reply(waiting.sender, CommandResult(entry.result));
            this->memory.add(command.requestKey, std::move(entry));
            return;
        }
        auto& added = this->memory.add(command.requestKey, std::move(entry));
        this->addWaiter(added, command.requestKey, { waiting.sender, command.requestId, waiting.deadline });
        command.remaining = waiting.deadline - now;
        this->run(std::move(command));
    }

    void waitForInterval(Waiting&& waiting)
    {
        this->waiting.push_back(std::move(waiting));
        std::push_heap(this->waiting.begin(), this->waiting.end(), endsLater);
    }

    static bool endsLater(Waiting const& left, Waiting const& right) { return left.deadline > right.deadline; }

    void reconsiderWaiting(Milliseconds now)
    {
        auto commands = std::exchange(this->waiting, {});
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
        for (auto const& waiter : this->memory.finish(result)) {
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
        this->publish(record.range);
        if (changed)
            this->reconsiderWaiting(now);
    }

    void onWriteResult(uint32_t range, WriteResult result, std::optional<OwnershipRecord>&& current, Milliseconds now)
    {
        if (range >= this->ranges.size())
            return;
        this->ranges[range].onWriteResult(result, current, now);
        this->publish(range);
        this->reconsiderWaiting(now);
    }

    void publish(uint32_t range)
    {
        if (auto const& record = this->ranges[range].known())
            this->records.insert_or_assign(range, *record);
    }

    std::optional<uint32_t> rankOf(uint32_t range) const
    {
        uint32_t rank = 0;
        for (auto const& name : this->claimOrders[range]) {
            if (name == this->nodeName)
                return rank;
            rank += this->hooks.isAlive(name) ? 1 : 0;
        }
        return std::nullopt;
    }

    void advance(Milliseconds now, Milliseconds wallClock)
    {
        this->wallClock = static_cast<uint64_t>(std::max(0.0, wallClock.value));
        this->currentTime = now;
        this->nextTick = now + tickPeriod;
        this->memory.forgetBelow(this->wallClock > memorySpan ? this->wallClock - memorySpan : 0);
        for (uint32_t range = 0; range < this->ranges.size(); ++range)
            this->advanceRange(range, now);
        this->expireWaiters(now);
        if (!this->waiting.empty() && this->waiting.front().deadline <= now)
            this->reconsiderWaiting(now);
    }

    /// Ends at the first live claimant, because counting the whole rank walks over the fleet.
    bool hasLiveEarlierClaimant(uint32_t range) const
    {
        if (!this->configuration->fleet.nodes.contains(this->nodeName))
            return false;
        for (auto const& name : this->claimOrders[range]) {
            if (name == this->nodeName)
                return false;
            if (this->hooks.isAlive(name))
                return true;
        }
        return false;
    }

    bool mayHandBack(uint32_t range, Milliseconds now)
    {
        if (!this->hasLiveEarlierClaimant(range)) {
            this->earlierClaimantSince.erase(range);
            return false;
        }
        auto const since = this->earlierClaimantSince.try_emplace(range, now).first->second;
        return now - since >= stableClaimant && now >= this->nextHandBack;
    }

    void advanceRange(uint32_t range, Milliseconds now)
    {
        RangeOwnership::Situation situation;
        situation.now = now;
        situation.wallClock = this->wallClock;
        situation.rank = [this, range] { return this->rankOf(range); };
        situation.mayHandBack = this->mayHandBack(range, now);
        situation.claimsAllowedSince = this->claimsAllowedSince;
        situation.nodeStopping = this->stopBegan.has_value();
        situation.hasRunningCommands = this->memory.hasRunning(range);
        this->ranges[range].forgetIntervalsBelow(this->wallClock > memorySpan ? this->wallClock - memorySpan : 0);
        auto const proposal = this->ranges[range].nextWrite(situation);
        if (!proposal)
            return;
        ++this->writes;
        if (proposal->kind == RangeOwnership::Proposal::Kind::Release)
            this->nextHandBack = now + handBackPeriod;
        this->outbox.post(
            [this, proposal = *proposal] { this->hooks.write(proposal.next, proposal.expectedRevision); });
    }

    void expireWaiters(Milliseconds now)
    {
        while (!this->timers.empty() && this->timers.begin()->deadline <= now) {
            auto const timer = this->timers.extract(this->timers.begin()).value();
            auto* entry = this->memory.find(timer.key);
            if (!entry || entry->finished)
                continue;
            // The command runs on; its verdict is kept for a later duplicate.
            std::erase_if(entry->waiters, [&](KeyWaiter const& waiter) {
                if (waiter.deadline > now)
                    return false;
                this->reply(waiter.sender, commandDeadlineExceeded(timer.key, waiter.requestId));
                return true;
            });
        }
    }

    bool ownsNothing() const
    {
        if (this->stopBegan && this->currentTime - *this->stopBegan > giveUpBound)
            return true;
        return std::ranges::all_of(
            this->ranges, [this](auto const& ownership) { return ownership.isGivenUp(this->wallClock); });
    }

    std::string ownerOf(std::string_view key) const
    {
        auto const time = requestKeyTime(key);
        // Any node may refuse a key that is not valid.
        if (!time)
            return this->nodeName;
        if (this->ranges.empty())
            return {};
        auto const& ownership = this->ranges[this->rangeOf(key)];
        if (ownership.owns(*time))
            return this->nodeName;
        auto const& record = ownership.known();
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
        if (!this->waiting.empty())
            next = std::min(next, this->waiting.front().deadline);
        return next;
    }

    Json::Value describe() const
    {
        Json::Value result(Json::objectValue);
        result["rememberedKeys"] = Json::UInt64 { this->memory.size() };
        result["waitingForInterval"] = Json::UInt64 { this->waiting.size() };
        result["duplicates"] = Json::UInt64 { this->duplicates };
        result["writes"] = Json::UInt64 { this->writes };
        auto& owned = result["ownedRanges"] = Json::Value(Json::arrayValue);
        for (uint32_t range = 0; range < this->ranges.size(); ++range) {
            if (this->ranges[range].isMine())
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
    std::map<uint32_t, OwnershipRecord> earlyRecords;
    std::map<uint32_t, OwnershipRecord> records;
    RequestKeyTable memory;
    /// Heap with the earliest deadline first.
    std::vector<Waiting> waiting;
    std::multimap<std::string, KeyWaiter> undeduplicated;
    std::set<KeyTimer> timers;
    std::optional<Milliseconds> stopBegan;
    /// By range, since when a claimant that comes before this node is alive.
    std::map<uint32_t, Milliseconds> earlierClaimantSince;
    Milliseconds nextHandBack { -1e12 };
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
    this->implementation->reconsiderWaiting(now);
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
    if (!this->implementation->stopBegan)
        this->implementation->stopBegan = now;
    this->implementation->nextTick = now;
}

bool KeyOwner::ownsNothing() const { return this->implementation->ownsNothing(); }

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
