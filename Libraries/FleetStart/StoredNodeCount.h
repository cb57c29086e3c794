#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <optional>

namespace Toucan {

/// Decides on a relay when the counted number of nodes is written to the registry, from which nodes read it at their
/// start. It responds to the change of the number of nodes and not to the load.
class StoredNodeCount {
public:
    struct Conditions {
        /// Number of nodes that this relay has counted; empty while it is not known.
        std::optional<uint32_t> counted;
        /// Whether no earlier relay of the list runs.
        bool isFirstRelay { false };
        /// Whether the last call to the registry succeeded.
        bool isConnected { false };
    };

    /// Records the number that the registry holds; empty when there is none or it cannot be read.
    void onStored(std::optional<uint32_t> count) { this->storedCount = count; }
    std::optional<uint32_t> stored() const { return this->storedCount; }

    /// Returns the number to be written now, and assumes that the caller writes it: the next one follows at the
    /// earliest 10 s later, whether or not the write succeeds.
    std::optional<uint32_t> takeWrite(Conditions const& conditions, Milliseconds now);

private:
    std::optional<uint32_t> storedCount;
    std::optional<Milliseconds> writtenAt;
};

} // namespace Toucan
