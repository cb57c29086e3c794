#pragma once

#include "Base/Clock.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>
#include <string>
#include <string_view>

namespace Toucan {

/// Splits "127.0.0.1:2379" and sets address and timeouts of a session.
/// Throws Error of kind InvalidSettings when the endpoint is not an IP address and port.
void configureSession(Poco::Net::HTTPClientSession& session, std::string const& endpoint, Milliseconds timeout);

/// Sends one request and reads the header of its answer; the body is in the returned stream, which belongs to the
/// session. Throws Error: Unavailable when the body was not sent, Timeout when the answer did not come. The session is
/// reset after an error.
std::istream& exchange(Poco::Net::HTTPClientSession& session, std::string const& method, std::string const& path,
    std::string_view body, Poco::Net::HTTPResponse& response);

/// Reads a whole body. Throws Error: Timeout when it is not there by `deadline` or is cut short, ProtocolViolation when
/// it is too long.
std::string readBody(Poco::Net::HTTPClientSession& session, std::istream& stream,
    Poco::Net::HTTPResponse const& response, Milliseconds deadline);

} // namespace Toucan
