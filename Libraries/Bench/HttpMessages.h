#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Toucan::Bench {

struct HttpRequest {
    std::shared_ptr<Poco::Net::HTTPRequest> header;
    std::string body;
};
struct HttpResponse {
    std::shared_ptr<Poco::Net::HTTPResponse> header;
    std::string body;
};
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// Removes the first message from the front of the buffer and returns it. Returns nothing, with the buffer unchanged,
/// while the message is incomplete. Bodies need Content-Length (RFC 9112, section 6.2). Throws Error of kind
/// ProtocolViolation.
std::optional<HttpRequest> takeRequest(std::string& buffer);
std::optional<HttpResponse> takeResponse(std::string& buffer);
/// As takeResponse(), but returns the unparsed bytes of the message.
std::optional<std::string> takeResponseBytes(std::string& buffer);

std::string writeRequest(std::string_view method, std::string_view path, std::string_view host,
    HttpFields const& fields, std::string_view body);
/// A complete response with the JSON text `body`, or without a body when `body` is empty.
std::string writeResponse(int status, HttpFields const& fields, std::string_view body);

} // namespace Toucan::Bench
