#pragma once

#include "Operator/StoredConfiguration.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// What became of a write of the configuration.
struct WriteOutcome {
    enum class Kind {
        Accepted,
        /// The store already holds the same parts; nothing was written.
        Unchanged,
        /// Another write came first and this one can no longer take effect.
        Conflict,
        /// The store could not be reached before the root was sent; this write cannot take effect.
        NotSent,
        /// The answer was lost and could not be read back; the write may have taken effect or may still do so.
        Unknown,
    } kind { Kind::Unknown };
    /// Root that was proposed, or the stored one when unchanged.
    ConfigurationRoot root;
    /// Set on a conflict when it could be read.
    std::optional<ConfigurationRoot> winner;
    /// Writes of the root whose answers did not come.
    unsigned lostAnswers { 0 };
    /// Last error of the store; empty when there was none.
    std::string storeError;
};

/// Writes a new version of the configuration: parts under their hashes, then root and history in one transaction that
/// compares the root's mod_revision.
class ConfigurationWriter {
public:
    struct Change {
        /// Unique for each change; a lost answer is read back by it.
        std::string id;
        std::string author;
        Milliseconds time;
    };
    /// Waits before a lost answer is read back.
    using Pause = std::function<void(Milliseconds)>;

    ConfigurationWriter(OperatorStore& store, Pause pause);

    /// Errors of the store are part of the outcome. Throws Error of kind LimitExceeded, and writes nothing, when a part
    /// is larger than a value may be in the store.
    WriteOutcome write(StoredRoot const& base, std::map<std::string, std::string> const& parts, Change const& change);

private:
    enum class ReadBack {
        Accepted,
        /// Another root took the place of the base.
        Superseded,
        /// The root is still the base, so that the write may still take effect.
        Open,
        Unreachable,
    };

    std::vector<std::vector<StorePut>> newParts(
        ConfigurationRoot const& base, std::map<std::string, std::string> const& parts) const;
    void putParts(std::vector<StorePut> const& puts);
    void swapRoot(StoredRoot const& base, std::vector<StorePut> lastParts, WriteOutcome& outcome);
    ReadBack readBack(StoredRoot const& base, WriteOutcome& outcome);
    /// Returns whether the outcome is final.
    static bool settle(ReadBack result, WriteOutcome& outcome);

    OperatorStore& store;
    Pause pause;
};

} // namespace Toucan
