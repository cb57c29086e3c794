#pragma once

#include "Gateway/NodeCounter.h"
#include "Gateway/RegistryRelay.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

/// Decodes an entry in the registry's encoding; empty when the entry is not for the gateway.
using RegistryDecoder = std::function<std::optional<RegistryEvent>(std::string const& source)>;

/// Rewrites an entry in the registry's encoding into text without line breaks that compresses well; the decoder reads
/// both forms.
using RegistryCompactor = std::function<std::string(std::string const& source)>;

/// Media type of a compact body; a relay sends it to followers that request it, because older versions read JSON only.
constexpr auto compactUpdateType = "application/vnd.toucangauge.news";

/// The entries of an update as one compressed block (zlib, RFC 1950) that several answers can share: their number and
/// then each entry on a line.
std::string compressEntries(std::span<RegistryEvent const> events, RegistryCompactor const& compact);

/// Observations in six bytes each: the hash of the target's id (four bytes, least significant first), the slowdown as a
/// logarithm or 255 for a target that leaves, and the age in units of 10 ms. Rate limits are left out.
std::string packObservations(std::span<TargetObservation const> observations);
/// Throws Error of kind InvalidInput when the length is not a multiple of six.
std::vector<TargetObservation> unpackObservations(std::string_view bytes);

/// Compact body: the JSON of writeRelayUpdate() without its entries and with "packed" (base64 of packObservations())
/// for its observations, a line break, and the compressed entries.
std::string writeCompactUpdate(RelayUpdate const& update, std::string_view compressedEntries);

/// Throws Error of kind InvalidInput when the body cannot be read, or holds more than 8 MiB of entries.
RelayUpdate readCompactUpdate(std::string_view body, RegistryDecoder const& decode);

/// JSON body {"relay", "nodes": [hash], "complete"}.
std::string writeNodeReport(NodeReport const& report);
/// Throws Error of kind InvalidInput when the body cannot be read.
NodeReport readNodeReport(std::string_view body);

/// JSON body of an update: {"revision", "era" (absent: 0), "ageMs", "outageEndedMs", "failureDomain", "followers",
/// "nodes", "entries": [text], "observations": [[target, slowdown, age in ms]], "limits": [[hash of the target's id,
/// requests per second or null for no limit, age in ms]], "terminations": [[fingerprint as 16 hexadecimal digits, hash
/// of the target's process, hash of the route, age in ms, cleared, canary]], "lastObservation"}. Versions that don't
/// know "terminations" ignore it.
std::string writeRelayUpdate(RelayUpdate const& update);

/// Throws Error of kind InvalidInput when the body cannot be read.
RelayUpdate readRelayUpdate(std::string_view body, RegistryDecoder const& decode);

/// JSON body {"observations", "limits", "terminations"}, as above.
std::string writeObservations(std::span<TargetObservation const> observations);
/// Throws Error of kind InvalidInput when the body cannot be read.
std::vector<TargetObservation> readObservations(std::string_view body);

} // namespace Toucan
