#pragma once

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace Toucan {

/// JSON-RPC 2.0 server (libjsonrpccpp) without a transport of its own: the admin server passes the texts of requests
/// and responses. The methods take no parameters.
class JsonRpcServer {
public:
    /// Answer of one method. An exception becomes a JSON-RPC error with its message.
    using Method = std::function<Json::Value()>;

    struct Methods {
        Method view;
        Method burn;
        Method configurationVersion;
    };

    explicit JsonRpcServer(Methods methods);
    ~JsonRpcServer();

    /// Returns the text of the response; empty for a notification. Calls from several threads are allowed.
    std::string handle(std::string const& request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
