#pragma once

#include "Net/FrameSession.h"
#include "Net/TcpListener.h"

#include <array>
#include <cstdint>
#include <functional>
#include <json/value.h>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Toucan {

/// Kinds of frames whose sent bytes are counted; all other kinds are counted under the last name.
constexpr std::array<std::string_view, 11> countedFrameKinds { "digest", "fetch", "fetched", "probe", "probed", "parts",
    "results", "cancel", "command", "commandResult", "other" };

/// Frame connections between nodes. This node sends to each peer over a connection that it dials, and receives over the
/// connections that peers dial.
class PeerLinks {
public:
    struct Hooks {
        std::function<void(Json::Value&&)> frame;
        /// A connection to or from the peer was lost or could not be established.
        std::function<void(std::string const& peer)> connectionLost;
    };
    struct Counters {
        uint64_t framesSent { 0 };
        uint64_t framesReceived { 0 };
        uint64_t framesDropped { 0 };
        uint64_t connectionsLost { 0 };
        /// Bytes with length fields, in the order of countedFrameKinds.
        std::array<uint64_t, countedFrameKinds.size()> bytesSent {};
    };

    /// Throws as TcpListener does.
    PeerLinks(EventLoop& loop, std::string const& address, std::string nodeName, Hooks hooks);
    ~PeerLinks();
    PeerLinks(PeerLinks const&) = delete;
    PeerLinks& operator=(PeerLinks const&) = delete;

    /// Dials the peer when there is no connection to this address yet.
    void send(std::string const& peer, std::string const& peerAddress, Json::Value const& frame);
    Poco::Net::SocketAddress address() const { return this->listener.address(); }
    Counters const& counters() const { return this->totals; }
    /// Bytes for peers that were not given to the kernel yet.
    size_t unsent() const;

private:
    struct Outgoing {
        std::string address;
        FrameSession::Pointer session;
        /// After a failure, the peer is not dialled again before this time.
        Milliseconds redialAfter;
    };
    struct Incoming {
        FrameSession::Pointer session;
        /// Known from the first frame.
        std::string peer;
    };

    bool dial(std::string const& peer, Outgoing& link);
    void countBytes(Json::Value const& frame, uint64_t bytes);
    void onOutgoingEnded(std::string const& peer, FrameSession* session);
    void accept(Poco::Net::StreamSocket const& socket);
    void onFrame(uint64_t number, Json::Value&& frame);
    void onIncomingEnded(uint64_t number);
    void reportConnectionLost(std::string const& peer);

    EventLoop& loop;
    std::string nodeName;
    Hooks hooks;
    Counters totals;
    std::map<std::string, Outgoing> outgoing;
    std::map<uint64_t, Incoming> incoming;
    /// Newest incoming connection of each peer.
    std::map<std::string, uint64_t> newestIncoming;
    /// Reported at the end of the turn, once for each peer.
    std::set<std::string> lostPeers;
    uint64_t lastNumber { 0 };
    TcpListener listener;
};

} // namespace Toucan
