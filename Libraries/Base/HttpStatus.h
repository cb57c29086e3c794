#pragma once

namespace Toucan {

/// Whether the number is a status code of HTTP (RFC 9110, section 15). A response with another one is not an answer:
/// its sender is faulty, and the request may have run.
constexpr bool isValidHttpStatus(int code) { return code >= 100 && code <= 599; }

} // namespace Toucan
