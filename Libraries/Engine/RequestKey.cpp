#include "Base/Hash.h"
#include "Engine/KeyOwner.h"

#include <algorithm>

namespace Toucan {

static std::optional<uint64_t> hexadecimalDigit(char character)
{
    if (character >= '0' && character <= '9')
        return character - '0';
    if (character >= 'a' && character <= 'f')
        return character - 'a' + 10;
    if (character >= 'A' && character <= 'F')
        return character - 'A' + 10;
    return std::nullopt;
}

std::optional<uint64_t> requestKeyTime(std::string_view key)
{
    static constexpr size_t textLength = 36;
    static constexpr size_t versionPosition = 14;
    static constexpr size_t variantPosition = 19;
    static constexpr size_t timeDigits = 12;
    if (key.size() != textLength)
        return std::nullopt;
    uint64_t time = 0;
    size_t digits = 0;
    for (size_t position = 0; position < textLength; ++position) {
        auto const isSeparator = position == 8 || position == 13 || position == 18 || position == 23;
        if (isSeparator != (key[position] == '-'))
            return std::nullopt;
        if (isSeparator)
            continue;
        auto const digit = hexadecimalDigit(key[position]);
        if (!digit)
            return std::nullopt;
        if (digits++ < timeDigits)
            time = time << 4 | *digit;
    }
    auto const variant = *hexadecimalDigit(key[variantPosition]);
    if (key[versionPosition] != '7' || variant < 8 || variant > 11)
        return std::nullopt;
    return time;
}

uint32_t keyRange(std::string_view key, uint32_t ranges)
{
    return static_cast<uint32_t>(hash64(key) % std::max(1U, ranges));
}

} // namespace Toucan
