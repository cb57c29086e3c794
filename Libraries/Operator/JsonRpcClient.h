#pragma once

#include <json/value.h>
#include <string>

namespace Toucan {

/// Calls a method without parameters on a node's admin port (JSON-RPC 2.0) and returns its result. Throws Error of kind
/// Unavailable if there is no response and ProtocolViolation if the response is an error. Compiled as C++14; see
/// CMakeLists.txt.
Json::Value callJsonRpc(std::string const& address, std::string const& method, double timeoutMs);

} // namespace Toucan
