#include "Workspaces/KeyDigest.h"

#include "Base/Base64.h"
#include "Base/Error.h"
#include <Poco/SHA2Engine.h>
#include <algorithm>

namespace Toucan {

KeyDigest digestOf(std::string_view key)
{
    Poco::SHA2Engine engine;
    engine.update(key.data(), key.size());
    auto const& hash = engine.digest();
    KeyDigest digest {};
    std::copy_n(hash.begin(), digest.size(), digest.begin());
    return digest;
}

std::string writeDigest(KeyDigest const& digest) { return encodeBase64(std::string(digest.begin(), digest.end())); }

std::optional<KeyDigest> readDigest(std::string const& text)
{
    try {
        auto const bytes = decodeBase64(text);
        KeyDigest digest {};
        if (bytes.size() != digest.size())
            return std::nullopt;
        std::copy(bytes.begin(), bytes.end(), digest.begin());
        return digest;
    } catch (Error const&) {
        return std::nullopt;
    }
}

} // namespace Toucan
