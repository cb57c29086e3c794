#pragma once

#include "Base/Clock.h"
#include "Net/EventLoop.h"

#include <functional>
#include <string>

namespace Toucan {

/// What one attempt to connect showed of a server.
enum class ConnectProbeResult {
    /// Nothing listens at the address (ECONNREFUSED).
    Refused,
    /// The server's system established the connection, even if it was reset at once.
    Accepted,
    /// No answer in time, or another error.
    NoAnswer,
};

/// Opens one connection to the endpoint, as in "127.0.0.1:9001", and closes it at once. `done` is called once, within
/// `timeout`, never from within the call.
void probeConnect(
    EventLoop& loop, std::string const& endpoint, Milliseconds timeout, std::function<void(ConnectProbeResult)> done);

} // namespace Toucan
