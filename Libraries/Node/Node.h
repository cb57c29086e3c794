#pragma once

#include "Node/AdminServer.h"
#include "Node/EngineThread.h"
#include "Node/NetworkThread.h"
#include "Node/NodeOptions.h"
#include "Node/StoreLink.h"

#include <atomic>
#include <functional>

namespace Toucan {

/// One node: creates and connects the threads (docs/design.md, section 4.8) and runs the planned stop (section 4.9).
class Node {
public:
    /// Binds all listeners. Throws Error of kind InvalidSettings when one cannot be bound.
    explicit Node(NodeOptions const& options);
    ~Node();
    Node(Node const&) = delete;
    Node& operator=(Node const&) = delete;

    /// `storeLink` must stay valid until stop() has returned. Its replies go into the rings of engine(), followed by
    /// EngineThread::wake().
    void start(StoreLink storeLink);
    /// Planned stop; returns when the process may exit, within balancerLag + drain and a second for the threads.
    void stop();

    EngineThread& engine() { return this->engineThread; }
    NetworkThread const& network() const { return this->networkThread; }
    AdminServer const& admin() const { return this->adminServer; }

private:
    /// Waits until the condition holds or `time` is reached; returns whether it holds.
    static bool waitUntil(Milliseconds time, std::function<bool()> const& condition);

    NodeOptions options;
    uint64_t incarnation;
    std::atomic<bool> stopping { false };
    EngineThread engineThread;
    NetworkThread networkThread;
    AdminServer adminServer;
};

} // namespace Toucan
