#include "Engine/NodeEngine.h"

#include "Engine/NodeCore.h"

namespace Toucan {

NodeEngine::NodeEngine(Hooks hooks, Identity identity, std::vector<Peer> const& seeds, Milliseconds now)
    : core(std::make_unique<NodeCore>(std::move(hooks), std::move(identity), seeds, now))
{
}

NodeEngine::~NodeEngine() = default;

void NodeEngine::onCallerRequest(CallerRequest&& request, Milliseconds now)
{
    this->core->currentTime = now;
    this->core->onCallerRequest(std::move(request), now);
    this->core->finishEvent(now);
}

void NodeEngine::onCallerDisconnected(RequestHandle handle, Milliseconds now)
{
    this->core->currentTime = now;
    this->core->coordinator.abandon(handle, now);
    this->core->commandRouter.abandon(handle);
    this->core->finishEvent(now);
}

void NodeEngine::onFrame(Json::Value const& frame, Milliseconds now)
{
    this->core->currentTime = now;
    this->core->onFrame(frame, now);
    this->core->finishEvent(now);
}

void NodeEngine::onPeerConnectionLost(std::string const& peer, Milliseconds now)
{
    this->core->currentTime = now;
    this->core->onPeerConnectionLost(peer, now);
    this->core->finishEvent(now);
}

void NodeEngine::onTargetAnswer(TargetAnswer&& answer, Milliseconds now)
{
    this->core->currentTime = now;
    this->core->dispatcher.onTargetAnswer(std::move(answer), now);
    this->core->finishEvent(now);
}

void NodeEngine::onTargetStatus(std::string const& target, TargetState state, TargetLoad load, Milliseconds now)
{
    this->core->currentTime = now;
    this->core->dispatcher.onTargetStatus(target, state, load, now);
    this->core->finishEvent(now);
}

void NodeEngine::onStoreReply(StoreReply&& reply, Milliseconds now)
{
    this->core->currentTime = now;
    this->core->onStoreReply(std::move(reply), now);
    this->core->finishEvent(now);
}

void NodeEngine::beginStop(Milliseconds now)
{
    this->core->currentTime = now;
    this->core->beginStop(now);
    this->core->finishEvent(now);
}

bool NodeEngine::finished() const { return this->core->finished(); }
bool NodeEngine::ready(Milliseconds now) const { return this->core->ready(now); }

void NodeEngine::advance(Milliseconds now)
{
    this->core->currentTime = now;
    this->core->advance(now);
    this->core->finishEvent(now);
}

Milliseconds NodeEngine::nextWakeup() const { return this->core->nextWakeup(); }
Json::Value NodeEngine::describe(Milliseconds now) const { return this->core->describe(now); }

Json::Value NodeEngine::describeBurn(Milliseconds now) const
{
    Json::Value burn;
    burn["node"] = this->core->identity.name;
    burn["services"] = Json::Value(Json::objectValue);
    if (auto const& configuration = this->core->configurationState.current())
        burn["services"] = this->core->burnTracker.describe(*configuration, now);
    return burn;
}

} // namespace Toucan
