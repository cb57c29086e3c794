#include "Operator/ConfigurationWriter.h"

#include "Base/Error.h"
#include "Base/Hash.h"

#include <set>

namespace Toucan {

// etcd refuses transactions with more than 128 operations or 1.5 MB by default; root and history need room too.
static constexpr size_t mostPutsInTransaction = 100;
static constexpr size_t mostBytesInTransaction = 700'000;
static constexpr size_t mostBytesInValue = 1'000'000;
static constexpr unsigned mostAttempts = 5;
static constexpr Milliseconds firstPause { 200 };

ConfigurationWriter::ConfigurationWriter(OperatorStore& store, Pause pause)
    : store(store)
    , pause(std::move(pause))
{
}

static void refuseLargePart(std::string const& name, std::string const& text)
{
    if (text.size() > mostBytesInValue)
        throw Error(ErrorKind::LimitExceeded,
            "The part \"" + name + "\" has " + std::to_string(text.size()) + " bytes, the store takes "
                + std::to_string(mostBytesInValue),
            "Remove old snapshots or divide the service");
}

WriteOutcome ConfigurationWriter::write(
    StoredRoot const& base, std::map<std::string, std::string> const& parts, Change const& change)
{
    WriteOutcome outcome;
    outcome.root = { base.root.version + 1, change.id, change.author, change.time, {} };
    for (auto const& [name, text] : parts) {
        refuseLargePart(name, text);
        outcome.root.parts[name] = contentHash(text);
    }
    if (base.revision && outcome.root.parts == base.root.parts) {
        outcome.kind = WriteOutcome::Kind::Unchanged;
        outcome.root = base.root;
        return outcome;
    }
    auto batches = this->newParts(base.root, parts);
    auto lastParts = std::move(batches.back());
    batches.pop_back();
    try {
        for (auto const& batch : batches)
            this->putParts(batch);
    } catch (Error const& error) {
        outcome.kind = WriteOutcome::Kind::NotSent;
        outcome.storeError = error.what();
        return outcome;
    }
    this->swapRoot(base, std::move(lastParts), outcome);
    return outcome;
}

std::vector<std::vector<StorePut>> ConfigurationWriter::newParts(
    ConfigurationRoot const& base, std::map<std::string, std::string> const& parts) const
{
    std::set<std::string> known;
    for (auto const& [name, hash] : base.parts)
        known.insert(hash);
    std::vector<std::vector<StorePut>> batches(1);
    size_t bytes = 0;
    for (auto const& [name, text] : parts) {
        auto const hash = contentHash(text);
        if (!known.insert(hash).second)
            continue;
        if (!batches.back().empty()
            && (batches.back().size() >= mostPutsInTransaction || bytes + text.size() > mostBytesInTransaction)) {
            batches.emplace_back();
            bytes = 0;
        }
        batches.back().push_back({ configurationPartKey(hash), text });
        bytes += text.size();
    }
    return batches;
}

void ConfigurationWriter::putParts(std::vector<StorePut> const& puts)
{
    for (unsigned attempt = 1;; ++attempt) {
        try {
            this->store.transact({}, puts);
            return;
        } catch (Error const&) {
            // Parts are immutable under their hash, so a write whose answer was lost may be repeated.
            if (attempt == mostAttempts)
                throw;
            this->pause(firstPause * attempt);
        }
    }
}

void ConfigurationWriter::swapRoot(StoredRoot const& base, std::vector<StorePut> lastParts, WriteOutcome& outcome)
{
    auto puts = std::move(lastParts);
    auto const text = writeRoot(outcome.root);
    puts.push_back({ configurationRootKey, text });
    puts.push_back({ configurationHistoryKey(outcome.root.version), text });
    // Every attempt compares the same mod_revision, so that at most one of them takes effect.
    for (unsigned attempt = 1; attempt <= mostAttempts; ++attempt) {
        try {
            if (this->store.transact({ { configurationRootKey, base.revision } }, puts)) {
                outcome.kind = WriteOutcome::Kind::Accepted;
                return;
            }
            auto const result = this->readBack(base, outcome);
            if (settle(result, outcome))
                return;
            if (!outcome.lostAnswers) {
                outcome.kind = WriteOutcome::Kind::Conflict;
                return;
            }
        } catch (Error const& error) {
            outcome.storeError = error.what();
            if (error.kind() != ErrorKind::Unavailable)
                ++outcome.lostAnswers;
            if (!outcome.lostAnswers) {
                outcome.kind = WriteOutcome::Kind::NotSent;
                return;
            }
        }
        this->pause(firstPause * attempt);
        if (settle(this->readBack(base, outcome), outcome))
            return;
    }
    outcome.kind = WriteOutcome::Kind::Unknown;
}

bool ConfigurationWriter::settle(ReadBack result, WriteOutcome& outcome)
{
    if (result == ReadBack::Accepted)
        outcome.kind = WriteOutcome::Kind::Accepted;
    else if (result == ReadBack::Superseded)
        outcome.kind = WriteOutcome::Kind::Conflict;
    else
        return false;
    return true;
}

ConfigurationWriter::ReadBack ConfigurationWriter::readBack(StoredRoot const& base, WriteOutcome& outcome)
{
    try {
        auto const current = readStoredRoot(this->store);
        if (current.root.changeId == outcome.root.changeId)
            return ReadBack::Accepted;
        // A later change may have replaced the root already; history keeps the one accepted at this version.
        if (auto const entry = readHistoryEntry(this->store, outcome.root.version)) {
            if (entry->changeId == outcome.root.changeId)
                return ReadBack::Accepted;
            outcome.winner = entry;
            return ReadBack::Superseded;
        }
        if (current.revision == base.revision)
            return ReadBack::Open;
        outcome.winner = current.root;
        return ReadBack::Superseded;
    } catch (Error const& error) {
        outcome.storeError = error.what();
        return ReadBack::Unreachable;
    }
}

} // namespace Toucan
