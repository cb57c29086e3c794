#pragma once

#include "Gateway/RegistryRelay.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

/// Reads an entry as the registry wrote it; empty when it concerns the gateway in no way.
using RegistryDecoder = std::function<std::optional<RegistryEvent>(std::string const& source)>;

/// Rewrites an entry as the registry wrote it into a text without line breaks that compresses well and that the decoder
/// reads as well.
using RegistryCompactor = std::function<std::string(std::string const& source)>;

/// Media type of a compact body; a relay sends it to followers that ask for it, because older versions read JSON only.
constexpr auto compactNewsType = "application/vnd.toucangauge.news";

/// The entries of many answers, one a line, compressed once (RFC 1950).
std::string compressEntries(std::span<RegistryEvent const> events, RegistryCompactor const& compact);

/// Observations in six bytes each: the target's code (four bytes, least significant first), the slowdown as a
/// logarithm, and the age in units of 10 ms.
std::string packObservations(std::span<TargetObservation const> observations);
/// Throws Error of kind InvalidInput when the length does not fit.
std::vector<TargetObservation> unpackObservations(std::string_view bytes);

/// Compact body: the JSON of writeRelayUpdate() without its entries and with "packed" (base64 of packObservations())
/// for its observations, a line break, and the compressed entries.
std::string writeCompactUpdate(RelayUpdate const& news, std::string_view compressedEntries);

/// Throws Error of kind InvalidInput when the body cannot be read, or holds more than 8 MiB of entries.
RelayUpdate readCompactUpdate(std::string_view body, RegistryDecoder const& decode);

/// JSON body that one node sends another: {"revision", "ageMs", "outageEndedMs", "failureDomain", "followers",
/// "entries": [text], "observations": [[target, slowdown, age in ms]], "lastObservation"}.
std::string writeRelayUpdate(RelayUpdate const& news);

/// Throws Error of kind InvalidInput when the body cannot be read.
RelayUpdate readRelayUpdate(std::string_view body, RegistryDecoder const& decode);

/// JSON body {"observations"}, as above.
std::string writeObservations(std::span<TargetObservation const> observations);
/// Throws Error of kind InvalidInput when the body cannot be read.
std::vector<TargetObservation> readObservations(std::string_view body);

} // namespace Toucan
