#pragma once

#include "Configuration/Configuration.h"

#include <json/value.h>
#include <map>
#include <string>
#include <string_view>

namespace Toucan {

/// The mutable root record of the configuration in the store; refers to immutable parts by their content hash.
struct ConfigurationRoot {
    uint64_t version { 0 };
    /// Unique for each apply; identifies a write whose response was lost.
    std::string changeId;
    std::string author;
    /// Wall-clock time of the apply.
    Milliseconds time;
    /// Part name ("fleet", "classes", "rules", "services/NAME") to content hash.
    std::map<std::string, std::string> parts;
};

/// Throws Error of kind InvalidInput if a member is missing or has the wrong type.
ConfigurationRoot parseRoot(std::string_view text);
std::string writeRoot(ConfigurationRoot const& root);

/// Part texts of a validated document, by part name.
std::map<std::string, std::string> splitDocument(Json::Value const& document);

/// Inverse of splitDocument(): builds the document from the parts that a root refers to. `texts` maps content hash to
/// part text. Throws the same errors as assembleConfiguration(), but does not validate the contents of the parts.
Json::Value assembleDocument(ConfigurationRoot const& root, std::map<std::string, std::string> const& texts);

/// Builds the configuration from the parts that a root refers to. `texts` maps content hash to part text.
/// Throws Error of kind NotFound if a part is missing and InvalidInput if one is not valid or does not match its hash.
/// Unknown keys are ignored, so that an older node accepts a newer document.
ConfigurationPointer assembleConfiguration(
    ConfigurationRoot const& root, std::map<std::string, std::string> const& texts);

/// Builds a configuration from a complete merged document. Throws Error of kind InvalidInput with the JSON Pointers of
/// the invalid values and the remedies; unknown keys are errors.
ConfigurationPointer parseDocument(Json::Value const& document, uint64_t version, std::string const& changeId);

} // namespace Toucan
