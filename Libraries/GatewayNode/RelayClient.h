#pragma once

#include "GatewayNode/RelayCodec.h"
#include "Net/HttpClientPool.h"
#include "Quota/QuotaMessages.h"
#include "Succession/IssuingShare.h"

#include <functional>
#include <optional>
#include <string>

namespace Toucan {

/// Requests registry entries and changes from relays and reports observations to them.
class RelayClient {
public:
    /// `node` is the name under which relays count this node; not counted when it is empty.
    RelayClient(EventLoop& loop, RegistryDecoder decode, std::string node = {});

    /// Requests changes; the relay answers when there are some or after the wait of the request.
    void follow(std::string const& relay, RelayRequest request, std::function<void(RelayUpdate&&)> done);
    /// Requests all entries.
    void copy(std::string const& relay, std::function<void(RelayUpdate&&)> done);
    /// Who sends a report; relays do not forward the reports of other relays.
    enum class Reporter {
        Node,
        Relay,
    };
    /// Sends observations of targets to a relay. `lost` is called with the reason when the relay does not accept them;
    /// there is no retry, because the next answers of the targets bring newer values.
    void report(std::string const& relay, Reporter reporter, std::string const& body,
        std::function<void(std::string const&)> lost);
    /// Asks a relay for tokens of limits. `done` is called once, never from within the call; empty when the relay gives
    /// no usable answer in time.
    void askQuota(
        std::string const& relay, QuotaRequest const& request, std::function<void(std::optional<QuotaAnswer>&&)> done);
    /// Asks a relay whether it runs, IssuingShare::answerProbe(). `done` is called once.
    void probe(std::string const& relay, IssuingShare::Asker asker, std::function<void(bool)> done);
    /// Sends the nodes that this relay has seen to another relay; `received` is called when that one accepts them.
    void reportNodes(std::string const& relay, NodeReport const& report, std::function<void()> received);

private:
    struct PostHooks {
        std::function<void(std::string const&)> lost;
        /// May be empty.
        std::function<void()> received {};
    };
    void post(std::string const& relay, std::string const& target, std::string const& body, PostHooks postHooks);
    void call(std::string const& relay, std::string const& target, std::function<void(RelayUpdate&&)> done);

    RegistryDecoder decode;
    std::string node;
    HttpClientPool pool;
    /// Apart, so that an answer shows the state of the relay and not of the exchanges before it.
    HttpClientPool probePool;
    /// Apart, so that requests for tokens never wait for another exchange.
    HttpClientPool quotaPool;
};

} // namespace Toucan
