#include "Base/Hash.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace Toucan {

uint64_t hash64(std::string_view bytes, uint64_t seed) { return XXH64(bytes.data(), bytes.size(), seed); }

std::string contentHash(std::string_view bytes)
{
    auto const hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return { text.data(), 32 };
}

} // namespace Toucan
