#pragma once

#include "Workspaces/KeyDigest.h"

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <unordered_map>

namespace Toucan {

/// Finds the workspace of a key. Holds and compares keyed hashes of the digests, so that the time of a lookup depends
/// neither on the number of keys nor on how much of a key is right.
class KeyIndex {
public:
    /// Random secret of the keyed hashes.
    using Secret = std::array<uint8_t, 32>;

    explicit KeyIndex(Secret const& secret)
        : secret(secret)
    {
    }
    /// The secret of this process; made at its first use from the system's source of random numbers.
    static Secret const& processSecret();

    /// Maps a key to the workspace with the given number. Returns false when it belongs to another one.
    bool add(KeyDigest const& key, uint32_t workspace);
    /// Number of the workspace that the key belongs to; empty for an unknown key.
    std::optional<uint32_t> find(std::string_view key) const;
    size_t size() const { return this->workspaces.size(); }

private:
    struct FirstBytes {
        size_t operator()(KeyDigest const& hash) const
        {
            size_t result = 0;
            std::memcpy(&result, hash.data(), sizeof(result));
            return result;
        }
    };

    KeyDigest keyedHash(KeyDigest const& key) const;

    Secret secret;
    std::unordered_map<KeyDigest, uint32_t, FirstBytes> workspaces;
};

} // namespace Toucan
