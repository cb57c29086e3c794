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

    void follow(std::string const& relay, RelayQuestion question, std::function<void(RelayUpdate&&)> done);
    void copy(std::string const& relay, std::function<void(RelayUpdate&&)> done);
    /// Tells a relay what this node learned of targets. `lost` is called with the reason when the relay did not take
    /// it; nothing is sent again, because the next answers of the targets show the same.
    /// `reporter` keeps relays from passing on what another relay passed on.
    enum class Reporter {
        Node,
        Relay,
    };
    void report(std::string const& relay, Reporter reporter, std::string const& body,
        std::function<void(std::string const&)> lost);

private:
    void call(std::string const& relay, std::string const& target, std::function<void(RelayUpdate&&)> done);

    RegistryDecoder decode;
    HttpClientPool pool;
};

} // namespace Toucan
