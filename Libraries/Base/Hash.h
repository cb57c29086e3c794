#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Toucan {

/// XXH64 of the bytes with the given seed.
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

/// 128-bit XXH3 as 32 hexadecimal digits; the key of an immutable part of a configuration.
std::string contentHash(std::string_view bytes);

} // namespace Toucan
