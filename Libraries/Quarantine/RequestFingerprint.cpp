#include "Quarantine/RequestFingerprint.h"

#include "Base/Hash.h"
#include <Poco/NumberFormatter.h>
#include <Poco/SHA2Engine.h>
#include <Poco/String.h>
#include <algorithm>

namespace Toucan {

/// A change makes fingerprints of nodes of different versions differ, which ends the quarantine between them.
constexpr std::string_view fingerprintKey = "toucan-gateway request fingerprint 1";

uint64_t fingerprintOf(RequestIdentity const& identity)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    auto const add = [&engine](std::string_view text) {
        // The length keeps two requests from having the same concatenation.
        engine.update(std::to_string(text.size()) + ":");
        engine.update(text.data(), text.size());
    };
    add(fingerprintKey);
    add(identity.method);
    add(Poco::toLower(std::string(identity.host)));
    add(identity.target);
    add(identity.body);
    uint64_t fingerprint = 0;
    auto const& digest = engine.digest();
    for (size_t index = 0; index < sizeof fingerprint; ++index)
        fingerprint = fingerprint << 8 | digest[index];
    return std::max<uint64_t>(fingerprint, 1);
}

std::string fingerprintText(uint64_t fingerprint)
{
    return Poco::toLower(Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(fingerprint), 16));
}

uint32_t terminatedTargetHash(std::string_view targetId, uint64_t incarnation)
{
    return std::max(static_cast<uint32_t>(hash64(targetId, incarnation)), 1U);
}

uint32_t routeHash(std::string_view routeName) { return static_cast<uint32_t>(hash64(routeName)); }

} // namespace Toucan
