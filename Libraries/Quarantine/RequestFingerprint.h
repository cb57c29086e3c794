#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Toucan {

/// What a caller asked for. Header fields other than Host do not count, because they differ between retries.
struct RequestIdentity {
    std::string_view method;
    /// Host field; letter case does not matter (RFC 9110, section 4.2.3).
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// First 64 bits of SHA-256 (FIPS 180-4) of a key that is the same on all nodes and the request, each field preceded by
/// its length; never 0. The request cannot be derived from it.
uint64_t fingerprintOf(RequestIdentity const& identity);
/// 16 hexadecimal digits.
std::string fingerprintText(uint64_t fingerprint);

/// Identifies one process of a target in reports; never 0.
uint32_t terminatedTargetHash(std::string_view targetId, uint64_t incarnation);
uint32_t routeHash(std::string_view routeName);

} // namespace Toucan
