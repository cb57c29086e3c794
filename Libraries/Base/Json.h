#pragma once

#include <json/value.h>
#include <string>
#include <string_view>

namespace Toucan {

/// Parses one JSON text (RFC 8259). Comments, duplicate keys and trailing text are refused.
/// Throws Error of kind InvalidInput with the line and column.
Json::Value parseJson(std::string_view text);

/// Writes JSON without white space; members are in the order of their names, so equal values give equal bytes.
std::string writeJson(Json::Value const& value);

} // namespace Toucan
