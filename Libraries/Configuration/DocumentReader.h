#pragma once

#include "Configuration/Configuration.h"
#include "Configuration/SettingsFault.h"

#include <json/value.h>
#include <vector>

namespace Toucan {

/// What happens to keys that this program does not know.
enum class UnknownKeys {
    /// For operators: a misspelt key must not go unnoticed.
    Refuse,
    /// For nodes: an older program must accept a document that a newer one has checked.
    Ignore,
};

/// Reads and checks a whole configuration document (docs/design.md, section 6). All faults are appended to `faults`,
/// with paths but without file and line; the result is meaningful only when there are none.
Configuration readDocument(Json::Value const& document, UnknownKeys unknownKeys, std::vector<SettingsFault>& faults);

} // namespace Toucan
