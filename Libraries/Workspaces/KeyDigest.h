#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

/// First 128 bits of the SHA-256 (FIPS 180-4) of a key. Keys are kept and sent to other nodes in this form only.
using KeyDigest = std::array<uint8_t, 16>;

KeyDigest digestOf(std::string_view key);

/// Base64 (RFC 4648).
std::string writeDigest(KeyDigest const& digest);
/// Empty when the text is not the Base64 of a digest.
std::optional<KeyDigest> readDigest(std::string const& text);

} // namespace Toucan
