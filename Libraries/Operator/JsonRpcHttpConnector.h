#pragma once

#include <jsonrpccpp/client/iclientconnector.h>
#include <string>

namespace Toucan {

/// Carries JSON-RPC 2.0 messages to a node's admin port, POST /rpc. Compiled as C++14; see CMakeLists.txt.
class JsonRpcHttpConnector final : public jsonrpc::IClientConnector {
public:
    /// `address` is IP address and port.
    JsonRpcHttpConnector(std::string address, double timeoutMs);

    /// Throws JsonRpcException with the code ERROR_CLIENT_CONNECTOR when no answer came.
    void SendRPCMessage(std::string const& message, std::string& result) throw(jsonrpc::JsonRpcException) override;

private:
    std::string address;
    double timeoutMs;
};

} // namespace Toucan
