#pragma once

#include "Operator/StoredConfiguration.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// Result of a write of the configuration.
struct WriteOutcome {
    enum class Kind {
        Accepted,
        /// The store already contains the same parts; nothing was written.
        Unchanged,
        /// Another write took effect first, so that this one can no longer take effect.
        Conflict,
        /// The store was unreachable before the root was sent; this write cannot take effect.
        NotSent,
        /// The response was lost and the result could not be read back; the write may have taken effect or may still do
        /// so.
        Unknown,
    } kind { Kind::Unknown };
    /// Proposed root; the stored root if unchanged.
    ConfigurationRoot root;
    /// Root of the other write on a conflict, if it could be read.
    std::optional<ConfigurationRoot> competingRoot;
    /// Number of root writes without a response.
    unsigned lostResponses { 0 };
    /// Last error of the store; empty if there was none.
    std::string storeError;
};

/// Writes a new version of the configuration: first the parts under their hashes, then the root and the history entry
/// in one transaction that compares the root's mod_revision.
class ConfigurationWriter {
public:
    struct Change {
        /// Unique for each change; identifies the change when the result is read back after a lost response.
        std::string id;
        std::string author;
        Milliseconds time;
    };
    /// Blocks for the delay before a result is read back or a write is retried.
    using Pause = std::function<void(Milliseconds)>;

    ConfigurationWriter(OperatorStore& store, Pause pause);

    /// Reports errors of the store in the outcome. Throws Error of kind LimitExceeded, and writes nothing, if a part
    /// exceeds the store's limit for values.
    WriteOutcome write(StoredRoot const& base, std::map<std::string, std::string> const& parts, Change const& change);

private:
    enum class ReadBack {
        Accepted,
        /// Another root has replaced the base.
        Superseded,
        /// The base is still the current root, so that the write may still take effect.
        Pending,
        Unreachable,
    };

    std::vector<std::vector<StorePut>> newParts(
        ConfigurationRoot const& base, std::map<std::string, std::string> const& parts) const;
    void putParts(std::vector<StorePut> const& puts);
    void compareAndSwapRoot(StoredRoot const& base, std::vector<StorePut> lastParts, WriteOutcome& outcome);
    ReadBack readBack(StoredRoot const& base, WriteOutcome& outcome);
    /// Returns whether the outcome is final.
    static bool applyReadBack(ReadBack result, WriteOutcome& outcome);

    OperatorStore& store;
    Pause pause;
};

} // namespace Toucan
