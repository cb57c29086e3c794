#pragma once

#include "EngineFixtures.h"

#include "Engine/KeyOwner.h"

#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Toucan {

/// UUIDv7 with the given time and a distinguishing number.
inline std::string makeKey(uint64_t time, uint32_t number)
{
    std::array<char, 64> text {};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-0000%08x",
        static_cast<unsigned long long>(time >> 16), static_cast<unsigned long long>(time & 0xffff), number);
    return text.data();
}

/// Compare-and-swap store of ownership records.
struct InMemoryOwnershipStore {
    std::map<uint32_t, OwnershipRecord> records;
    uint64_t revision { 0 };

    bool compareAndSwap(OwnershipRecord next, uint64_t expectedRevision)
    {
        auto const found = this->records.find(next.range);
        if ((found == this->records.end() ? 0 : found->second.revision) != expectedRevision)
            return false;
        next.revision = ++this->revision;
        this->records[next.range] = next;
        return true;
    }
    std::optional<OwnershipRecord> read(uint32_t range) const
    {
        auto const found = this->records.find(range);
        return found == this->records.end() ? std::nullopt : std::optional(found->second);
    }
};

/// One incarnation of a node with a key owner; its writes and runs are collected until the test handles them.
struct KeyOwnerNode {
    struct Write {
        OwnershipRecord next;
        uint64_t expectedRevision;
    };
    struct Reply {
        std::string sender;
        CommandResult result;
    };

    KeyOwnerNode(std::string const& name, uint64_t incarnation)
        : name(name)
        , owner({ [this](OwnershipRecord const& next, uint64_t expected) {
                     this->writes.push_back({ next, expected });
                 },
                    [this](CommandRequest const& command) { this->runs.push_back(command); },
                    [this](std::string const& sender, CommandResult&& result) {
                        this->replies.push_back({ sender, std::move(result) });
                    },
                    [this](std::string const& node) { return this->alive.contains(node); } },
              name, incarnation)
    {
    }

    /// Applies the collected writes to the store and reports their results.
    void completeWrites(InMemoryOwnershipStore& store, Milliseconds now)
    {
        for (auto const& write : std::exchange(this->writes, {})) {
            auto const accepted = store.compareAndSwap(write.next, write.expectedRevision);
            this->owner.onWriteResult(write.next.range,
                accepted ? KeyOwner::WriteResult::Accepted : KeyOwner::WriteResult::Conflict,
                store.read(write.next.range), now);
        }
    }
    /// Advances the owner at this monotonic and wall-clock time, then completes its writes.
    void step(InMemoryOwnershipStore& store, Milliseconds time)
    {
        this->owner.advance(time, time);
        this->completeWrites(store, time);
    }
    void submit(std::string const& key, Milliseconds now, std::string const& sender = "entry")
    {
        CommandRequest command;
        command.requestKey = key;
        command.requestId = "r-" + sender;
        command.service = "s";
        command.remaining = 50_ms;
        this->owner.submit(sender, std::move(command), now);
    }
    void finish(CommandRequest const& command, Outcome outcome, Milliseconds now)
    {
        CommandResult result;
        result.requestKey = command.requestKey;
        result.requestId = command.requestId;
        result.outcome = outcome;
        result.status = outcome == Outcome::Ran ? 200 : 503;
        this->owner.onCommandFinished(std::move(result), now);
    }

    std::string name;
    /// Other nodes that this one considers alive.
    std::set<std::string> alive;
    std::vector<Write> writes;
    std::vector<CommandRequest> runs;
    std::vector<Reply> replies;
    KeyOwner owner;
};

} // namespace Toucan
