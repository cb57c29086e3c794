#pragma once

#include "Configuration/SettingsReader.h"

#include <string>

namespace Toucan {

/// Required member that is an IP address with a port, as in "127.0.0.1:8101".
std::string readAddress(SettingsReader& reader, std::string const& key);

/// Member that is a list of such addresses; empty when it is missing.
std::vector<std::string> readAddresses(SettingsReader& reader, std::string const& key);

/// Required member that is a name of letters, digits, '-', '_' and '.'.
std::string readName(SettingsReader& reader, std::string const& key);

/// Text of a settings file. Throws SettingsError of kind InvalidSettings when it cannot be read.
std::string readSettingsFile(std::string const& file);

} // namespace Toucan
