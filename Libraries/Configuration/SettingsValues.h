#pragma once

#include "Configuration/SettingsReader.h"

#include <string>

namespace Toucan {

/// Required member that must be an IP address and port, as in "127.0.0.1:8101".
std::string readAddress(SettingsReader& reader, std::string const& key);

/// Member that must be an array of such addresses; empty if it is missing.
std::vector<std::string> readAddresses(SettingsReader& reader, std::string const& key);

/// Required member that must be a name of letters, digits, '-', '_' and '.'.
std::string readName(SettingsReader& reader, std::string const& key);

/// Reads the text of a settings file. Throws SettingsError of kind InvalidSettings if the file cannot be read.
std::string readSettingsFile(std::string const& file);

} // namespace Toucan
