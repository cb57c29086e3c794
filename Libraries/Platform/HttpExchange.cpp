#include "Platform/HttpExchange.h"

#include "Base/Error.h"
#include "Base/HttpStatus.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <array>

namespace Toucan {

/// Limits the memory that one response can take; enough for a few hundred configuration parts of usual size.
static constexpr size_t maximumResponseBytes = 64 << 20;

void configureSession(Poco::Net::HTTPClientSession& session, std::string const& endpoint, Milliseconds timeout)
{
    try {
        Poco::Net::SocketAddress const address(endpoint);
        session.setHost(address.host().toString());
        session.setPort(address.port());
    } catch (Poco::Exception const& exception) {
        throw Error(ErrorKind::InvalidSettings, "Invalid endpoint '" + endpoint + "': " + exception.displayText(),
            "Give an IP address and a port, as in 127.0.0.1:2379");
    }
    session.setKeepAlive(true);
    Poco::Timespan const span(static_cast<Poco::Timespan::TimeDiff>(timeout.value * 1000));
    session.setTimeout(span, span, span);
}

std::istream& exchange(Poco::Net::HTTPClientSession& session, std::string const& method, std::string const& path,
    std::string_view body, Poco::Net::HTTPResponse& response)
{
    std::string const endpoint = session.getHost() + ":" + std::to_string(session.getPort());
    std::ostream* output = nullptr;
    try {
        // An idle keep-alive connection becomes readable only when the peer has closed it. A write sent on it would
        // fail with an unknown result, which a new connection avoids.
        if (session.connected() && session.socket().poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ))
            session.reset();
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setKeepAlive(true);
        if (!body.empty()) {
            request.setContentType("application/json");
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        }
        output = &session.sendRequest(request);
    } catch (Poco::Exception const& exception) {
        session.reset();
        throw Error(ErrorKind::Unavailable, "No connection to " + endpoint + ": " + exception.displayText(),
            "Check that the platform is up; the call is repeated later");
    }
    try {
        output->write(body.data(), static_cast<std::streamsize>(body.size()));
        output->flush();
        auto& stream = session.receiveResponse(response);
        // Poco accepts any version and any number as status code.
        bool const isHttp1 = response.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1
            || response.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
        if (!isHttp1 || !isValidHttpStatus(static_cast<int>(response.getStatus())))
            throw Poco::Net::MessageException("invalid status line");
        return stream;
    } catch (Poco::Exception const& exception) {
        session.reset();
        throw Error(ErrorKind::Timeout, "No response from " + endpoint + path + ": " + exception.displayText(),
            "Read back what a write changed before it is repeated");
    }
}

std::string readBody(Poco::Net::HTTPClientSession& session, std::istream& stream,
    Poco::Net::HTTPResponse const& response, Milliseconds deadline)
{
    std::string body;
    std::array<char, 16384> buffer {};
    while (stream.good()) {
        stream.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
        body.append(buffer.data(), static_cast<size_t>(stream.gcount()));
        if (body.size() > maximumResponseBytes) {
            session.reset();
            throw Error(ErrorKind::ProtocolViolation,
                "Response larger than " + std::to_string(maximumResponseBytes) + " bytes",
                "Check that the endpoint is the platform's");
        }
        if (stream.good() && Clock::now() > deadline)
            break;
    }
    bool const cutShort = response.hasContentLength()
        && body.size() < static_cast<uint64_t>(std::max<Poco::Int64>(response.getContentLength64(), 0));
    if (stream.bad() || !stream.eof() || cutShort) {
        session.reset();
        throw Error(ErrorKind::Timeout, "The response body was truncated",
            "Read back what a write changed before it is repeated");
    }
    return body;
}

} // namespace Toucan
