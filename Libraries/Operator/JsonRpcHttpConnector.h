#pragma once

#include <jsonrpccpp/client/iclientconnector.h>
#include <string>

namespace Toucan {

/// Sends JSON-RPC 2.0 messages to a node's admin port by POST /rpc. Compiled as C++14; see CMakeLists.txt.
class JsonRpcHttpConnector final : public jsonrpc::IClientConnector {
public:
    /// `address` is an IP address and port.
    JsonRpcHttpConnector(std::string address, double timeoutMs);

    /// Throws JsonRpcException with the code ERROR_CLIENT_CONNECTOR if there is no response.
    void SendRPCMessage(std::string const& message, std::string& result) throw(jsonrpc::JsonRpcException) override;

private:
    std::string address;
    double timeoutMs;
};

} // namespace Toucan
