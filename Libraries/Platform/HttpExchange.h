#pragma once

#include "Base/Clock.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>
#include <string>
#include <string_view>

namespace Toucan {

/// Sets the address and timeouts of a session; `endpoint` as in "127.0.0.1:2379".
/// Throws Error of kind InvalidSettings if the endpoint is not an IP address and port.
void configureSession(Poco::Net::HTTPClientSession& session, std::string const& endpoint, Milliseconds timeout);

/// Sends one request and reads the header of its response; the body is in the returned stream, which the session owns.
/// Throws Error: Unavailable if the body was not sent, Timeout if there was no response. The session is reset after an
/// error.
std::istream& exchange(Poco::Net::HTTPClientSession& session, std::string const& method, std::string const& path,
    std::string_view body, Poco::Net::HTTPResponse& response);

/// Reads a complete body. Throws Error: Timeout if it is incomplete at `deadline` or truncated, ProtocolViolation if it
/// is too long.
std::string readBody(Poco::Net::HTTPClientSession& session, std::istream& stream,
    Poco::Net::HTTPResponse const& response, Milliseconds deadline);

} // namespace Toucan
