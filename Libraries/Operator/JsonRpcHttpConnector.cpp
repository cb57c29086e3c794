#include "Operator/JsonRpcHttpConnector.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

namespace Toucan {

JsonRpcHttpConnector::JsonRpcHttpConnector(std::string address, double timeoutMs)
    : address(std::move(address))
    , timeoutMs(timeoutMs)
{
}

static std::string post(std::string const& address, double timeoutMs, std::string const& message)
{
    Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
    session.setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(timeoutMs * 1000)));
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, "/rpc", Poco::Net::HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(message.size()));
    session.sendRequest(request) << message;
    Poco::Net::HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    std::string body;
    Poco::StreamCopier::copyToString64(stream, body);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        throw Poco::IOException("HTTP status " + std::to_string(static_cast<int>(response.getStatus())));
    return body;
}

void JsonRpcHttpConnector::SendRPCMessage(std::string const& message, std::string& result) throw(
    jsonrpc::JsonRpcException)
{
    // The exception specification allows JsonRpcException only; any other type would terminate the program.
    try {
        result = post(this->address, this->timeoutMs, message);
    } catch (Poco::Exception const& exception) {
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, exception.displayText());
    } catch (std::exception const& exception) {
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, exception.what());
    }
}

} // namespace Toucan
