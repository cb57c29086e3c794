#pragma once

#include "Bench/BenchLoop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Toucan::Bench {

/// Non-blocking TCP connection with an input and an output buffer. The event loop keeps it alive until it is closed.
class StreamSession : public std::enable_shared_from_this<StreamSession> {
public:
    struct Hooks {
        /// New bytes are in input().
        std::function<void()> received;
        /// The peer closed the connection, or the connection failed or was not established. Not called after close().
        std::function<void()> closed;
    };

    /// Takes over an accepted, non-blocking descriptor.
    static std::shared_ptr<StreamSession> adopt(BenchLoop& loop, int descriptor);
    /// Starts a connect; its failure is reported by Hooks::closed. Throws Error of kind Unavailable.
    static std::shared_ptr<StreamSession> connect(BenchLoop& loop, Poco::Net::SocketAddress const& address);
    ~StreamSession();
    StreamSession(StreamSession const&) = delete;
    StreamSession& operator=(StreamSession const&) = delete;

    void setHooks(Hooks newHooks) { this->hooks = std::move(newHooks); }
    std::string& input() { return this->inputBuffer; }
    size_t unsentBytes() const { return this->outputBuffer.size() - this->outputOffset; }
    bool open() const { return this->descriptor >= 0; }
    /// True once the connection has been established, also after it has been closed.
    bool connected() const { return this->isConnected; }
    /// Sends or queues the bytes. Never calls Hooks::closed; a failure is reported by the event loop. Does nothing
    /// after close().
    void send(std::string_view bytes);
    /// Closes after the output has been sent.
    void closeAfterSending();
    void close();
    /// Closes with a TCP reset, as if the process had been killed.
    void reset();
    /// While reading is paused, TCP flow control slows the sender.
    void pauseReading();
    void resumeReading();

private:
    StreamSession(BenchLoop& loop, int descriptor);
    void start();
    void onReady(uint32_t events);
    void readAvailable();
    void writeAvailable();
    void updateEvents();
    /// Closes the connection and calls Hooks::closed.
    void closeAndNotify();

    BenchLoop& loop;
    int descriptor { -1 };
    BenchLoop::WatchId watch { 0 };
    Hooks hooks;
    std::string inputBuffer;
    std::string outputBuffer;
    size_t outputOffset { 0 };
    uint32_t events { 0 };
    bool isConnected { false };
    bool paused { false };
    bool closesAfterSending { false };
};

/// Accepts connections on one address until it is destroyed.
class StreamListener {
public:
    /// Throws Error of kind Unavailable when the address cannot be bound.
    StreamListener(BenchLoop& loop, std::string const& address,
        std::function<void(std::shared_ptr<StreamSession> const&)> accepted);
    ~StreamListener();
    StreamListener(StreamListener const&) = delete;
    StreamListener& operator=(StreamListener const&) = delete;

private:
    void acceptAll();

    BenchLoop& loop;
    Poco::Net::ServerSocket socket;
    BenchLoop::WatchId watch { 0 };
    std::function<void(std::shared_ptr<StreamSession> const&)> accepted;
};

} // namespace Toucan::Bench
