#pragma once

#include "GatewayNode/RelayCodec.h"
#include "Net/HttpClientPool.h"

#include <functional>
#include <string>

namespace Toucan {

/// Asks other nodes for what they know of the registry.
class RelayClient {
public:
    RelayClient(EventLoop& loop, RegistryDecoder decode);

    void follow(std::string const& relay, uint64_t revision, std::function<void(RelayedNews&&)> done);
    void copy(std::string const& relay, std::function<void(RelayedNews&&)> done);

private:
    void call(std::string const& relay, std::string const& target, std::function<void(RelayedNews&&)> done);

    RegistryDecoder decode;
    HttpClientPool pool;
};

} // namespace Toucan
