#include "Node/PeerLinks.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace Toucan {

/// Pause between dials of a peer that cannot be reached.
constexpr Milliseconds redialPause { 100 };
/// Each peer dials one connection; the rest covers reconnects and old connections whose loss was not detected yet.
constexpr size_t maximumIncomingConnections = 2000;

PeerLinks::PeerLinks(EventLoop& loop, std::string const& address, std::string nodeName, Hooks hooks)
    : loop(loop)
    , nodeName(std::move(nodeName))
    , hooks(std::move(hooks))
    , listener(loop, address, [this](Poco::Net::StreamSocket const& socket) { this->accept(socket); })
{
}

PeerLinks::~PeerLinks()
{
    // Closing the listener accepts the connections in the backlog, so it is closed before the sessions.
    this->listener.close();
    for (auto const& [peer, link] : this->outgoing) {
        if (link.session)
            link.session->close();
    }
    for (auto const& [number, link] : this->incoming)
        link.session->close();
}

void PeerLinks::send(std::string const& peer, std::string const& peerAddress, Json::Value const& frame)
{
    auto& link = this->outgoing[peer];
    if (link.address != peerAddress) {
        // A replacement of the peer has the same name and another address.
        if (link.session)
            link.session->close();
        link = { peerAddress, nullptr, {} };
    }
    if (!link.session && !this->dial(peer, link)) {
        ++this->totals.framesDropped;
        this->reportConnectionLost(peer);
        return;
    }
    auto const bytesBefore = link.session->bytesSent();
    if (link.session->send(frame)) {
        ++this->totals.framesSent;
        this->countBytes(frame, link.session->bytesSent() - bytesBefore);
    } else {
        ++this->totals.framesDropped;
    }
}

void PeerLinks::countBytes(Json::Value const& frame, uint64_t bytes)
{
    auto const kind = frame["kind"].isString() ? frame["kind"].asString() : std::string();
    auto const found = std::find(countedFrameKinds.begin(), countedFrameKinds.end() - 1, kind);
    this->totals.bytesSent[static_cast<size_t>(found - countedFrameKinds.begin())] += bytes;
}

bool PeerLinks::dial(std::string const& peer, Outgoing& link)
{
    if (this->loop.now() < link.redialAfter)
        return false;
    FrameSession::Hooks sessionHooks;
    // Peers send over the connections that they dial; a frame that arrives here is accepted as well.
    sessionHooks.frame = [this](Json::Value&& frame) {
        ++this->totals.framesReceived;
        this->hooks.frame(std::move(frame));
    };
    auto const self = std::make_shared<FrameSession*>(nullptr);
    sessionHooks.ended = [this, peer, self](FrameSession::End) { this->onOutgoingEnded(peer, *self); };
    try {
        link.session = FrameSession::connect(
            this->loop, Poco::Net::SocketAddress(link.address), FrameLimits {}, std::move(sessionHooks));
    } catch (Poco::Exception const&) {
        link.redialAfter = this->loop.now() + redialPause;
        return false;
    }
    *self = link.session.get();
    return true;
}

void PeerLinks::onOutgoingEnded(std::string const& peer, FrameSession* session)
{
    auto& link = this->outgoing[peer];
    if (link.session.get() != session)
        return;
    link.session.reset();
    link.redialAfter = this->loop.now() + redialPause;
    ++this->totals.connectionsLost;
    this->reportConnectionLost(peer);
}

void PeerLinks::accept(Poco::Net::StreamSocket const& socket)
{
    if (this->incoming.size() >= maximumIncomingConnections) {
        LOG_EVERY_N(WARNING, 1000) << "More than " << maximumIncomingConnections
                                   << " peer connections; a new one was closed";
        return;
    }
    auto const number = ++this->lastNumber;
    FrameSession::Hooks sessionHooks;
    sessionHooks.frame = [this, number](Json::Value&& frame) { this->onFrame(number, std::move(frame)); };
    sessionHooks.ended = [this, number](FrameSession::End) { this->onIncomingEnded(number); };
    this->incoming[number].session = FrameSession::adopt(this->loop, socket, FrameLimits {}, std::move(sessionHooks));
}

void PeerLinks::onFrame(uint64_t number, Json::Value&& frame)
{
    auto const found = this->incoming.find(number);
    if (found == this->incoming.end())
        return;
    auto& link = found->second;
    auto const& from = frame["from"];
    bool const valid = from.isString() && !from.asString().empty() && from.asString() != this->nodeName
        && (link.peer.empty() || link.peer == from.asString());
    if (!valid) {
        ++this->totals.framesDropped;
        auto const session = link.session;
        this->onIncomingEnded(number);
        session->close();
        return;
    }
    if (link.peer.empty()) {
        link.peer = from.asString();
        this->newestIncoming[link.peer] = number;
    }
    ++this->totals.framesReceived;
    this->hooks.frame(std::move(frame));
}

void PeerLinks::onIncomingEnded(uint64_t number)
{
    auto const found = this->incoming.find(number);
    if (found == this->incoming.end())
        return;
    auto const peer = found->second.peer;
    this->incoming.erase(found);
    if (peer.empty())
        return;
    ++this->totals.connectionsLost;
    // The end of an older connection is not reported, because the peer has dialled again.
    if (auto const newest = this->newestIncoming.find(peer); newest->second == number) {
        this->newestIncoming.erase(newest);
        this->reportConnectionLost(peer);
    }
}

void PeerLinks::reportConnectionLost(std::string const& peer)
{
    if (this->lostPeers.empty()) {
        this->loop.atTurnEnd([this] {
            for (auto const& lostPeer : std::exchange(this->lostPeers, {}))
                this->hooks.connectionLost(lostPeer);
        });
    }
    this->lostPeers.insert(peer);
}

size_t PeerLinks::unsent() const
{
    size_t total = 0;
    for (auto const& [peer, link] : this->outgoing) {
        if (link.session && link.session->isConnected())
            total += link.session->unsent();
    }
    return total;
}

} // namespace Toucan
