#pragma once

#include <string>
#include <string_view>

namespace Toucan {

/// Base64 with padding and without line breaks (RFC 4648, section 4), as the store's JSON gateway uses it.
std::string encodeBase64(std::string_view bytes);

/// Throws Error of kind InvalidInput if the text is not valid Base64.
std::string decodeBase64(std::string const& text);

} // namespace Toucan
