#pragma once

#include "Bench/HttpSession.h"
#include "Bench/StreamSession.h"

#include <cstdint>
#include <deque>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Toucan::Bench {

/// Faults of one route, as a control request sets them.
struct FaultSet {
    /// Delay of all bytes, in each direction.
    Milliseconds delay;
    /// Upper bound of a uniformly distributed addition to `delay`.
    Milliseconds jitter;
    /// Resets all connections and refuses new ones.
    bool cut { false };
    /// The next two discard all bytes of one direction. A connection that lost bytes is reset when the fault ends.
    bool blackholeToTarget { false };
    bool blackholeToCaller { false };
    /// The proxy reads from neither side; no bytes are lost.
    bool stall { false };
    /// Maximum number of bytes to the caller on each connection, counted from the control request or, if later, from
    /// the start of the connection. A connection that would exceed the limit is closed when the limit is reached.
    std::optional<uint64_t> truncateAfter;
    /// Probability that a complete HTTP answer is sent twice, 0 to 1.
    double duplicate { 0 };
    /// Probability that a complete HTTP answer is swapped with the next one of another connection, 0 to 1.
    double reorder { 0 };

    /// Members, each optional: "delayMs", "jitterMs", "cut" (bool), "blackhole" ("none", "toTarget", "toCaller" or
    /// "both"), "stall" (bool), "truncateAfter" (bytes), "duplicate" and "reorder" (probabilities). Throws Error of
    /// kind InvalidInput that names an unknown member or a value out of range, and Json::Exception for a value of a
    /// wrong type.
    static FaultSet parse(Json::Value const& settings);
};

/// Forwards TCP connections from one listener to one address and injects faults. Not thread-safe.
class ProxyRoute {
public:
    /// Throws Error of kind Unavailable when the listener's address cannot be bound, and Poco::Exception when `target`
    /// is not an IP address with a port.
    ProxyRoute(BenchLoop& loop, std::string listen, std::string const& target, uint64_t seed);
    ~ProxyRoute();
    ProxyRoute(ProxyRoute const&) = delete;
    ProxyRoute& operator=(ProxyRoute const&) = delete;

    /// Replaces all faults.
    void setFaults(FaultSet const& newFaults);
    Json::Value describe() const;

private:
    enum class Direction {
        ToTarget,
        ToCaller,
    };
    enum class Framing {
        /// Fewer bytes have been read than are needed to recognize HTTP.
        Unknown,
        Http,
        Raw,
    };
    struct Chunk {
        Milliseconds releaseAt;
        std::string bytes;
        /// The sender closed after the bytes.
        bool last { false };
    };
    /// One direction of a connection.
    struct Pipe {
        std::shared_ptr<StreamSession> from;
        std::shared_ptr<StreamSession> to;
        std::deque<Chunk> held;
        /// Release time of the newest held chunk. A later chunk is released no earlier, so that bytes keep their order.
        Milliseconds lastRelease;
        /// Bytes sent. In the direction to the caller, counted from the last control request, for truncateAfter.
        uint64_t sent { 0 };
    };
    struct Connection {
        Pipe toTarget;
        Pipe toCaller;
        Framing framing { Framing::Unknown };
        bool lostBytes { false };
    };
    using ConnectionPointer = std::shared_ptr<Connection>;
    /// An answer that waits to be swapped with the next one of another connection.
    struct HeldAnswer {
        ConnectionPointer connection;
        std::string bytes;
        BenchLoop::TimerId timer { 0 };
    };
    /// Counts bytes; connections that were accepted, truncated or reset; answers that were sent twice; and pairs of
    /// answers that were swapped.
    struct Counters {
        uint64_t accepted { 0 };
        uint64_t bytesToTarget { 0 };
        uint64_t bytesToCaller { 0 };
        uint64_t bytesLost { 0 };
        uint64_t truncated { 0 };
        uint64_t duplicated { 0 };
        uint64_t reordered { 0 };
        uint64_t reset { 0 };
    };

    void listen();
    void onAccepted(std::shared_ptr<StreamSession> const& callerStream);
    void onReceived(ConnectionPointer const& connection, Direction direction);
    void onClosed(ConnectionPointer const& connection, Direction direction);
    void onAnswerBytes(ConnectionPointer const& connection);
    void onCompleteAnswer(ConnectionPointer const& connection, std::string bytes);
    void releaseHeldAnswer();
    void forward(ConnectionPointer const& connection, Direction direction, std::string bytes, bool last);
    void releaseDueChunks(ConnectionPointer const& connection, Direction direction);
    void deliver(ConnectionPointer const& connection, Direction direction, Chunk const& chunk);
    void reset(ConnectionPointer const& connection);
    void removeConnection(ConnectionPointer const& connection);
    void applyStall(ConnectionPointer const& connection) const;
    bool drawWithProbability(double probability);
    static Pipe& pipeOf(Connection& connection, Direction direction)
    {
        return direction == Direction::ToTarget ? connection.toTarget : connection.toCaller;
    }

    BenchLoop& loop;
    std::string listenAddress;
    Poco::Net::SocketAddress target;
    std::mt19937_64 random;
    std::unique_ptr<StreamListener> listener;
    std::set<ConnectionPointer> connections;
    std::optional<HeldAnswer> heldAnswer;
    FaultSet faults;
    Counters counters;
};

/// All routes of one process and their HTTP control: POST /control/routes/LISTEN replaces the faults of a route, GET
/// /control returns the counters.
class FaultProxy {
public:
    /// A route is specified as LISTEN=TARGET, for example "127.0.0.1:9100=127.0.0.1:9000". Throws Error of kind
    /// InvalidSettings or Unavailable.
    FaultProxy(BenchLoop& loop, std::string const& control, std::vector<std::string> const& routeSpecifications,
        uint64_t seed);

private:
    void addRoute(std::string_view specification, uint64_t seed);
    void onControl(std::shared_ptr<HttpSession> const& session, HttpRequest const& request);

    BenchLoop& loop;
    std::map<std::string, std::unique_ptr<ProxyRoute>> routes;
    /// Opened after all routes, so that they are listening once it accepts a connection.
    std::unique_ptr<StreamListener> controlListener;
};

} // namespace Toucan::Bench
