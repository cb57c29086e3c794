#pragma once

#include "Configuration/Configuration.h"
#include "Configuration/SettingsFault.h"

#include <json/value.h>
#include <vector>

namespace Toucan {

/// Handling of unknown keys in a document.
enum class UnknownKeys {
    /// For operators: a misspelled key is an error.
    Refuse,
    /// For nodes: an older version must accept a document that a newer one has validated.
    Ignore,
};

/// Parses and validates a complete configuration document (docs/design.md, section 6). Appends all faults to `faults`,
/// with paths but without file and line; the result is valid only if there are none.
Configuration readDocument(Json::Value const& document, UnknownKeys unknownKeys, std::vector<SettingsFault>& faults);

} // namespace Toucan
