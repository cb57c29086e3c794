#pragma once

#include <compare>
#include <cstdint>

namespace Toucan {

/// A state of the registry. Each time the registry is restored from an older copy, its era is incremented and its
/// revisions go back to those of the copy and are issued again. So a lower revision of a later era is newer, and
/// revisions of different eras say nothing about each other.
struct RegistryPosition {
    uint64_t era { 0 };
    uint64_t revision { 0 };

    auto operator<=>(RegistryPosition const&) const = default;
};

} // namespace Toucan
