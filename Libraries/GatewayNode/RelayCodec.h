#pragma once

#include "Gateway/RegistryRelay.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

/// Reads an entry as the registry wrote it; empty when it concerns the gateway in no way.
using RegistryDecoder = std::function<std::optional<RegistryEvent>(std::string const& source)>;

/// JSON body that one node sends another: {"revision", "ageMs", "outageEndedMs", "failureDomain", "followers",
/// "entries": [text], "observations": [[target, slowdown, age in ms]], "lastObservation"}.
std::string writeRelayedNews(RelayedNews const& news);

/// Throws Error of kind InvalidInput when the body cannot be read.
RelayedNews readRelayedNews(std::string_view body, RegistryDecoder const& decode);

/// JSON body {"observations"}, as above.
std::string writeObservations(std::span<TargetObservation const> observations);
/// Throws Error of kind InvalidInput when the body cannot be read.
std::vector<TargetObservation> readObservations(std::string_view body);

} // namespace Toucan
