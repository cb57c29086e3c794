#include "Workspaces/KeyIndex.h"

#include <Poco/SHA2Engine.h>
#include <algorithm>
#include <random>

namespace Toucan {

static KeyIndex::Secret createSecret()
{
    std::random_device source;
    KeyIndex::Secret secret {};
    for (auto& byte : secret)
        byte = static_cast<uint8_t>(source());
    return secret;
}

KeyIndex::Secret const& KeyIndex::processSecret()
{
    static auto const secret = createSecret();
    return secret;
}

KeyDigest KeyIndex::keyedHash(KeyDigest const& key) const
{
    Poco::SHA2Engine engine;
    engine.update(this->secret.data(), this->secret.size());
    engine.update(key.data(), key.size());
    auto const& hash = engine.digest();
    KeyDigest result {};
    std::copy_n(hash.begin(), result.size(), result.begin());
    return result;
}

bool KeyIndex::add(KeyDigest const& key, uint32_t workspace)
{
    auto const [entry, isNew] = this->workspaces.emplace(this->keyedHash(key), workspace);
    return isNew || entry->second == workspace;
}

std::optional<uint32_t> KeyIndex::find(std::string_view key) const
{
    auto const found = this->workspaces.find(this->keyedHash(digestOf(key)));
    if (found == this->workspaces.end())
        return std::nullopt;
    return found->second;
}

} // namespace Toucan
