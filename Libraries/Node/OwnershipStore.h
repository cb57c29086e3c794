#pragma once

#include "Engine/KeyOwner.h"
#include "Platform/StoreClient.h"

#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// Ownership records in the store: key `ownership/<range>`, value {"owner","incarnation","from","until"} with times in
/// wall-clock milliseconds.
class OwnershipStore {
public:
    struct WriteOutcome {
        KeyOwner::WriteResult result { KeyOwner::WriteResult::Unknown };
        /// Record in the store, when it is known.
        std::optional<OwnershipRecord> current;
        /// Whether the store answered the last call.
        bool reachable { false };
    };

    explicit OwnershipStore(StoreClient& client);

    /// All records; those that cannot be decoded are left out. Throws Error as StoreClient does.
    std::vector<OwnershipRecord> readAll();
    /// Compare-and-swap. After a lost answer the record is read back and, if it is unchanged, written again: only a
    /// write at the same revision decides whether the first one can still take effect. Does not throw.
    WriteOutcome write(OwnershipRecord const& next, uint64_t expectedRevision);

    static std::string keyOf(uint32_t range);
    static std::string encode(OwnershipRecord const& record);
    /// Empty when the value is not a record.
    static std::optional<OwnershipRecord> decode(StoreValue const& value);

private:
    std::optional<OwnershipRecord> read(uint32_t range);
    WriteOutcome tryWrite(OwnershipRecord const& next, uint64_t expectedRevision, bool mayHaveBeenWritten);
    WriteOutcome readBack(OwnershipRecord const& next, uint64_t expectedRevision);

    StoreClient& client;
};

} // namespace Toucan
