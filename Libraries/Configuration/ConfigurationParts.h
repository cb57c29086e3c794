#pragma once

#include "Configuration/Configuration.h"

#include <json/value.h>
#include <map>
#include <string>
#include <string_view>

namespace Toucan {

/// The mutable head of the configuration in the store; names immutable parts by their content hash.
struct ConfigurationRoot {
    uint64_t version { 0 };
    /// Unique for each apply; identifies a write whose answer was lost.
    std::string changeId;
    std::string author;
    /// Wall clock of the apply.
    Milliseconds time;
    /// Part name ("fleet", "classes", "rules", "services/NAME") to content hash.
    std::map<std::string, std::string> parts;
};

/// Throws Error of kind InvalidInput when a member is missing or has the wrong type.
ConfigurationRoot parseRoot(std::string_view text);
std::string writeRoot(ConfigurationRoot const& root);

/// Part texts of a checked document, by part name.
std::map<std::string, std::string> splitDocument(Json::Value const& document);

/// Inverse of splitDocument(): the whole document that a root names. `texts` maps content hash to part text. Throws as
/// assembleConfiguration() does, but does not check the contents of the parts.
Json::Value assembleDocument(ConfigurationRoot const& root, std::map<std::string, std::string> const& texts);

/// Builds the configuration that a root names. `texts` maps content hash to part text.
/// Throws Error of kind NotFound when a part is missing and InvalidInput when one is not valid or not what its hash
/// says. Keys that this program does not know are ignored, so that an older node accepts a newer document.
ConfigurationPointer assembleConfiguration(
    ConfigurationRoot const& root, std::map<std::string, std::string> const& texts);

/// Builds a configuration from a whole merged document. Throws Error of kind InvalidInput with the JSON path of the
/// bad values and the remedies; unknown keys are bad values.
ConfigurationPointer parseDocument(Json::Value const& document, uint64_t version, std::string const& changeId);

} // namespace Toucan
