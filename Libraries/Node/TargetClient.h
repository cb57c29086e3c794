#pragma once

#include "Engine/Dispatcher.h"
#include "Engine/Messages.h"
#include "Net/HttpClientPool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace Toucan {

/// HTTP client of the target interface (docs/design.md, section 3.2).
class TargetClient {
public:
    struct Hooks {
        std::function<void(TargetAnswer&&)> answered;
        std::function<void(std::string const& target, TargetState, TargetLoad)> status;
    };
    struct Counters {
        uint64_t calls { 0 };
        uint64_t cancels { 0 };
        uint64_t polls { 0 };
        /// Cancels and polls that found no free connection.
        uint64_t dropped { 0 };
    };

    TargetClient(EventLoop& loop, Hooks hooks);

    void call(TargetCall const& call);
    /// Uses another connection within the connection share; dropped when none is free.
    void cancel(AttemptId const& attempt);
    /// Sets the connection share of an address; with 0, idle connections are closed at once and busy ones after their
    /// exchange.
    void setConnectionLimit(std::string const& address, uint32_t connections);
    void poll(std::string const& target, std::string const& address);
    Counters const& counters() const { return this->totals; }

private:
    void onAnswer(AttemptId const& attempt, std::string const& target, HttpClientResult&& result);

    Hooks hooks;
    HttpClientPool pool;
    Counters totals;
    std::unordered_map<AttemptId, std::string> addresses;
    /// Connections that this node may hold, by address.
    std::map<std::string, uint32_t> connectionShares;
};

} // namespace Toucan
