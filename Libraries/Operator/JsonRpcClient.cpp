#include "Operator/JsonRpcClient.h"

#include "Base/Error.h"
#include "Operator/JsonRpcHttpConnector.h"

#include <jsonrpccpp/client/client.h>

namespace Toucan {

Json::Value callJsonRpc(std::string const& address, std::string const& method, double timeoutMs)
{
    JsonRpcHttpConnector connector(address, timeoutMs);
    jsonrpc::Client client(connector);
    try {
        return client.CallMethod(method, Json::Value::nullSingleton());
    } catch (jsonrpc::JsonRpcException const& exception) {
        if (exception.GetCode() == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR)
            throw Error(ErrorKind::Unavailable, "No response from " + address + ": " + exception.GetMessage(),
                "Check the address of the node's admin port and that the node runs");
        throw Error(ErrorKind::ProtocolViolation, address + " answered \"" + method + "\" with: " + exception.what(),
            "Check that the node runs a version that this tgctl knows");
    }
}

} // namespace Toucan
