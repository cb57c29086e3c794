#include "Base/Error.h"
#include "Base/Json.h"
#include "Operator/JsonRpcClient.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <functional>
#include <map>
#include <memory>
#include <sys/socket.h>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

namespace {

constexpr double testTimeoutMs = 10'000;

/// Responds to each request with the text that a function returns for its method, path and body; 404 if it is empty.
class Handler : public Poco::Net::HTTPRequestHandler {
public:
    using Answer = std::function<std::string(std::string const& method, std::string const& path, Json::Value const&)>;

    explicit Handler(Answer const& answer)
        : answer(answer)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString64(request.stream(), body);
        auto const text = this->answer(request.getMethod(), request.getURI(), parseJson(body));
        if (text.empty())
            response.setStatus(Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
        response.sendBuffer(text.data(), text.size());
    }

private:
    Answer const& answer;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit HandlerFactory(Handler::Answer answer)
        : answer(std::move(answer))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(Poco::Net::HTTPServerRequest const&) override
    {
        return new Handler(this->answer);
    }

private:
    Handler::Answer answer;
};

} // namespace

TEST_GROUP(JsonRpcClient) { Json::Value callWith(Handler::Answer answer) {
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
auto const address = socket.address().toString();
Poco::Net::HTTPServer server(new HandlerFactory(std::move(answer)), socket, new Poco::Net::HTTPServerParams);
server.start();
// Wakes POCO's listener thread when the server stops; otherwise the thread polls its stop flag every 250 ms.
std::shared_ptr<Poco::Net::ServerSocket> const closed(
    &socket, [](auto* listener) { ::shutdown(listener->impl()->sockfd(), SHUT_RDWR); });
return callJsonRpc(address, "configurationVersion", testTimeoutMs);
}

ErrorKind errorOf(std::function<void()> const& call)
{
    try {
        call();
    } catch (Error const& error) {
        return error.kind();
    }
    FAIL("expected an error");
    return ErrorKind::Conflict;
}
}
;

TEST(JsonRpcClient, PostsARequestAndReturnsTheResult)
{
    Json::Value receivedRequest;
    std::string requestLine;
    auto const result = this->callWith([&](auto const& method, auto const& path, Json::Value const& request) {
        requestLine = method + " " + path;
        receivedRequest = request;
        return R"({"jsonrpc":"2.0","id":)" + writeJson(request["id"]) + R"(,"result":{"version":4}})";
    });
    UNSIGNED_LONGS_EQUAL(4, result["version"].asUInt());
    STRCMP_EQUAL("POST /rpc", requestLine.c_str());
    STRCMP_EQUAL("2.0", receivedRequest["jsonrpc"].asCString());
    STRCMP_EQUAL("configurationVersion", receivedRequest["method"].asCString());
    CHECK(!receivedRequest.isMember("params") || receivedRequest["params"].isObject()
        || receivedRequest["params"].isArray());
}

TEST(JsonRpcClient, ErrorResponseIsAProtocolViolation)
{
    auto const call = [this] {
        this->callWith([](auto const&, auto const&, Json::Value const& request) {
            return R"({"jsonrpc":"2.0","id":)" + writeJson(request["id"])
                + R"(,"error":{"code":-32601,"message":"no such method"}})";
        });
    };
    CHECK(this->errorOf(call) == ErrorKind::ProtocolViolation);
}

// Guards against std::terminate caused by an exception type that the connector's exception specification lacks.
TEST(JsonRpcClient, MissingResponsesAreUnavailable)
{
    CHECK(this->errorOf([] { callJsonRpc("127.0.0.1:1", "view", testTimeoutMs); }) == ErrorKind::Unavailable);
    CHECK(this->errorOf([] { callJsonRpc("not an address", "view", testTimeoutMs); }) == ErrorKind::Unavailable);
    auto const notFound
        = [this] { this->callWith([](auto const&, auto const&, Json::Value const&) { return std::string(); }); };
    CHECK(this->errorOf(notFound) == ErrorKind::Unavailable);
    auto const notJson
        = [this] { this->callWith([](auto const&, auto const&, Json::Value const&) { return std::string("hello"); }); };
    CHECK(this->errorOf(notJson) == ErrorKind::ProtocolViolation);
}
