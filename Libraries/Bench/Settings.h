#pragma once

#include <json/value.h>
#include <string>

namespace Toucan::Bench {

/// Reads a settings file, one JSON object. Throws Error of kind InvalidSettings that names the file.
Json::Value readSettings(std::string const& path);

} // namespace Toucan::Bench
