#pragma once

#include <json/value.h>
#include <string>
#include <string_view>

namespace Toucan {

/// Parses one JSON text (RFC 8259). Rejects comments, duplicate keys and trailing text.
/// Throws Error of kind InvalidInput with the line and column.
Json::Value parseJson(std::string_view text);

/// Serializes without white space and with members sorted by name, so that equal values give equal bytes.
std::string writeJson(Json::Value const& value);

} // namespace Toucan
