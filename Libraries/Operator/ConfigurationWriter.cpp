#include "Operator/ConfigurationWriter.h"

#include "Base/Error.h"
#include "Base/Hash.h"

#include <set>

namespace Toucan {

// etcd by default rejects transactions with more than 128 operations or 1.5 MB; root and history count as well.
static constexpr size_t maximumPutsPerTransaction = 100;
static constexpr size_t maximumBytesPerTransaction = 700'000;
static constexpr size_t maximumValueBytes = 1'000'000;
static constexpr unsigned maximumAttempts = 5;
static constexpr Milliseconds initialRetryDelay { 200 };

ConfigurationWriter::ConfigurationWriter(OperatorStore& store, Pause pause)
    : store(store)
    , pause(std::move(pause))
{
}

static void rejectLargePart(std::string const& name, std::string const& text)
{
    if (text.size() > maximumValueBytes)
        throw Error(ErrorKind::LimitExceeded,
            "The part \"" + name + "\" has " + std::to_string(text.size()) + " bytes, the store takes "
                + std::to_string(maximumValueBytes),
            "Remove old snapshots or divide the service");
}

WriteOutcome ConfigurationWriter::write(
    StoredRoot const& base, std::map<std::string, std::string> const& parts, Change const& change)
{
    WriteOutcome outcome;
    outcome.root = { base.root.version + 1, change.id, change.author, change.time, {} };
    for (auto const& [name, text] : parts) {
        rejectLargePart(name, text);
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
    this->compareAndSwapRoot(base, std::move(lastParts), outcome);
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
            && (batches.back().size() >= maximumPutsPerTransaction
                || bytes + text.size() > maximumBytesPerTransaction)) {
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
            // Parts are immutable and stored under their hash, so a write may be retried after a lost response.
            if (attempt == maximumAttempts)
                throw;
            this->pause(initialRetryDelay * attempt);
        }
    }
}

void ConfigurationWriter::compareAndSwapRoot(
    StoredRoot const& base, std::vector<StorePut> lastParts, WriteOutcome& outcome)
{
    auto puts = std::move(lastParts);
    auto const text = writeRoot(outcome.root);
    puts.push_back({ configurationRootKey, text });
    puts.push_back({ configurationHistoryKey(outcome.root.version), text });
    // All attempts compare the same mod_revision, so that at most one of them takes effect.
    for (unsigned attempt = 1; attempt <= maximumAttempts; ++attempt) {
        try {
            if (this->store.transact({ { configurationRootKey, base.revision } }, puts)) {
                outcome.kind = WriteOutcome::Kind::Accepted;
                return;
            }
            auto const result = this->readBack(base, outcome);
            if (applyReadBack(result, outcome))
                return;
            if (!outcome.lostResponses) {
                outcome.kind = WriteOutcome::Kind::Conflict;
                return;
            }
        } catch (Error const& error) {
            outcome.storeError = error.what();
            if (error.kind() != ErrorKind::Unavailable)
                ++outcome.lostResponses;
            if (!outcome.lostResponses) {
                outcome.kind = WriteOutcome::Kind::NotSent;
                return;
            }
        }
        this->pause(initialRetryDelay * attempt);
        if (applyReadBack(this->readBack(base, outcome), outcome))
            return;
    }
    outcome.kind = WriteOutcome::Kind::Unknown;
}

bool ConfigurationWriter::applyReadBack(ReadBack result, WriteOutcome& outcome)
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
        // A later change may have replaced the root already; the history has the root accepted at this version.
        if (auto const entry = readHistoryEntry(this->store, outcome.root.version)) {
            if (entry->changeId == outcome.root.changeId)
                return ReadBack::Accepted;
            outcome.competingRoot = entry;
            return ReadBack::Superseded;
        }
        if (current.revision == base.revision)
            return ReadBack::Pending;
        outcome.competingRoot = current.root;
        return ReadBack::Superseded;
    } catch (Error const& error) {
        outcome.storeError = error.what();
        return ReadBack::Unreachable;
    }
}

} // namespace Toucan
