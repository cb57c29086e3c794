#pragma once

#include "Bench/HttpMessages.h"
#include "Bench/StreamSession.h"

#include <functional>
#include <memory>
#include <string>

namespace Toucan::Bench {

/// Server side of one HTTP/1.1 keep-alive connection. Handles one request at a time; pipelined requests stay in the
/// input buffer.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    struct Hooks {
        /// Each request ends with exactly one call of respond(), respondTruncated(), close() or reset().
        std::function<void(std::shared_ptr<HttpSession> const&, HttpRequest&&)> request;
        /// The connection ended other than by close() or reset(). Called at most once.
        std::function<void(std::shared_ptr<HttpSession> const&)> closed;
    };

    /// Requests are read from `readyAt` on, a time of Clock::now(); this models the cost of a new connection.
    static std::shared_ptr<HttpSession> create(
        BenchLoop& loop, std::shared_ptr<StreamSession> stream, Hooks hooks, Milliseconds readyAt);

    /// Does nothing when the connection has been closed.
    void respond(int status, HttpFields const& fields, std::string_view body);
    /// Sends the header and the first half of the body, calls Hooks::closed, and closes after the bytes have been sent.
    void respondTruncated(int status, HttpFields const& fields, std::string_view body);
    /// Closes without a call of Hooks::closed.
    void close();
    /// Closes with a TCP reset, without a call of Hooks::closed.
    void reset();
    bool open() const { return this->stream->open(); }

private:
    HttpSession(BenchLoop& loop, std::shared_ptr<StreamSession> stream, Hooks hooks);
    void readNext();
    void reportClosed();

    BenchLoop& loop;
    std::shared_ptr<StreamSession> stream;
    Hooks hooks;
    bool busy { false };
};

} // namespace Toucan::Bench
