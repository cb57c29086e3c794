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
        /// The last call got an answer.
        bool reachable { false };
    };

    explicit OwnershipStore(StoreClient& client);

    /// All records; those that cannot be read are left out. Throws Error as StoreClient does.
    std::vector<OwnershipRecord> readAll();
    /// Compare-and-swap. After a lost answer the record is read back and, while it is unchanged, written again: only a
    /// write at the same revision settles whether the first one can still take effect. Throws nothing.
    WriteOutcome write(OwnershipRecord const& next, uint64_t expectedRevision);

    static std::string keyOf(uint32_t range);
    static std::string encode(OwnershipRecord const& record);
    /// Empty when the value is not a record.
    static std::optional<OwnershipRecord> decode(StoreValue const& value);

private:
    std::optional<OwnershipRecord> read(uint32_t range);
    WriteOutcome tryWrite(OwnershipRecord const& next, uint64_t expectedRevision, bool mayHaveWritten);
    WriteOutcome settle(OwnershipRecord const& next, uint64_t expectedRevision);

    StoreClient& client;
};

} // namespace Toucan
