#pragma once

#include "Node/NodeOptions.h"

#include <string>
#include <string_view>

namespace Toucan {

/// Reads the settings of a node: JSON with comments. Throws SettingsError that names file, line, key, problem and
/// remedy of everything that is wrong.
NodeOptions parseNodeSettings(std::string const& file, std::string_view text);

/// As parseNodeSettings(); also throws when the file cannot be read.
NodeOptions readNodeSettings(std::string const& file);

} // namespace Toucan
