#include "Bench/HttpMessages.h"

#include "Base/Error.h"

#include <Poco/Exception.h>
#include <sstream>

namespace Toucan::Bench {

static constexpr std::string_view headerEnd = "\r\n\r\n";
static constexpr int statusCancelled = 499;

struct MessageSize {
    size_t header { 0 };
    size_t body { 0 };
};

/// Parses the header at the front of the buffer into `message`; returns nothing while the message is incomplete. Throws
/// Error of kind ProtocolViolation.
static std::optional<MessageSize> readMessageSize(std::string_view buffer, Poco::Net::HTTPMessage& message)
{
    auto const end = buffer.find(headerEnd);
    if (end == std::string_view::npos)
        return {};
    MessageSize size { end + headerEnd.size(), 0 };
    try {
        std::istringstream stream { std::string(buffer.substr(0, size.header)) };
        message.read(stream);
        if (message.hasContentLength())
            size.body = static_cast<size_t>(message.getContentLength());
    } catch (Poco::Exception const& exception) {
        throw Error(ErrorKind::ProtocolViolation, "Bad HTTP header: " + exception.displayText(), "Send HTTP/1.1");
    }
    if (message.getChunkedTransferEncoding())
        throw Error(ErrorKind::ProtocolViolation, "Chunked transfer coding is not supported", "Send Content-Length");
    if (buffer.size() < size.header + size.body)
        return {};
    return size;
}

template <typename Header, typename Message> static std::optional<Message> takeMessage(std::string& buffer)
{
    Message message;
    message.header = std::make_shared<Header>();
    auto const size = readMessageSize(buffer, *message.header);
    if (!size)
        return {};
    message.body = buffer.substr(size->header, size->body);
    buffer.erase(0, size->header + size->body);
    return message;
}

std::optional<std::string> takeResponseBytes(std::string& buffer)
{
    Poco::Net::HTTPResponse header;
    auto const size = readMessageSize(buffer, header);
    if (!size)
        return {};
    auto bytes = buffer.substr(0, size->header + size->body);
    buffer.erase(0, bytes.size());
    return bytes;
}

std::optional<HttpRequest> takeRequest(std::string& buffer)
{
    return takeMessage<Poco::Net::HTTPRequest, HttpRequest>(buffer);
}

std::optional<HttpResponse> takeResponse(std::string& buffer)
{
    return takeMessage<Poco::Net::HTTPResponse, HttpResponse>(buffer);
}

static void appendFields(std::string& text, HttpFields const& fields)
{
    for (auto const& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
}

std::string writeRequest(std::string_view method, std::string_view path, std::string_view host,
    HttpFields const& fields, std::string_view body)
{
    std::string text;
    text.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
    appendFields(text, fields);
    if (!body.empty())
        text.append("Content-Type: application/json\r\n");
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

std::string writeResponse(int status, HttpFields const& fields, std::string_view body)
{
    auto const reason = status == statusCancelled
        ? std::string("Cancelled")
        : Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    appendFields(text, fields);
    if (!body.empty())
        text.append("Content-Type: application/json\r\n");
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

} // namespace Toucan::Bench
