#include "Node/JsonRpcServer.h"

#include <exception>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <utility>

namespace Toucan {

namespace {

    /// Passes texts between the admin server and libjsonrpccpp.
    class TextConnector : public jsonrpc::AbstractServerConnector {
    public:
        bool StartListening() override { return true; }
        bool StopListening() override { return true; }
        bool SendResponse(std::string const& response, void* target) override
        {
            *static_cast<std::string*>(target) = response;
            return true;
        }
    };

    /// Holds the connector, which must exist before AbstractServer is constructed.
    struct ConnectorHolder {
        TextConnector connector;
    };

} // namespace

class JsonRpcServer::Implementation : private ConnectorHolder, public jsonrpc::AbstractServer<Implementation> {
public:
    explicit Implementation(Methods methods)
        : jsonrpc::AbstractServer<Implementation>(ConnectorHolder::connector)
        , methods(std::move(methods))
    {
        this->add("view", &Implementation::view);
        this->add("burn", &Implementation::burn);
        this->add("configurationVersion", &Implementation::configurationVersion);
    }

    std::string handle(std::string const& request)
    {
        std::string response;
        try {
            this->connector.OnRequest(request, &response);
        } catch (std::exception const&) {
            // The library does not catch what jsoncpp throws when a text is nested too deep.
            return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"The JSON is nested too deep"}})";
        }
        return response;
    }

private:
    void add(char const* name, methodPointer_t method)
    {
        this->bindAndAddMethod(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), method);
    }

    static void run(Method const& method, Json::Value& result)
    {
        try {
            result = method();
        } catch (std::exception const& exception) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, exception.what());
        }
    }

    void view(Json::Value const&, Json::Value& result) { run(this->methods.view, result); }
    void burn(Json::Value const&, Json::Value& result) { run(this->methods.burn, result); }
    void configurationVersion(Json::Value const&, Json::Value& result)
    {
        run(this->methods.configurationVersion, result);
    }

    Methods methods;
};

JsonRpcServer::JsonRpcServer(Methods methods)
    : implementation(new Implementation(std::move(methods)))
{
}

JsonRpcServer::~JsonRpcServer() = default;

std::string JsonRpcServer::handle(std::string const& request) { return this->implementation->handle(request); }

} // namespace Toucan
