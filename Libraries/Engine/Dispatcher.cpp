#include "Engine/Dispatcher.h"

#include "Engine/DispatcherHandover.h"
#include "Engine/SentCommands.h"
#include "Engine/TargetDispatcher.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace Toucan {

static constexpr Milliseconds pollInterval { 1000 };

class Dispatcher::Implementation {
public:
    struct Entry {
        std::unique_ptr<TargetDispatcher> target;
        std::string address;
        Milliseconds nextPoll;
        /// Random delay that is added to the first poll interval.
        Milliseconds phase;
    };

    Implementation(Hooks hooks, std::string nodeName)
        : context { std::move(hooks), {}, {} }
        , handover(std::move(nodeName))
    {
    }

    void setConfiguration(ConfigurationPointer next, Milliseconds now)
    {
        this->configuration = std::move(next);
        this->handover.setConfiguration(this->configuration, now);
        this->configureTargets(now);
    }

    void configureTargets(Milliseconds now)
    {
        this->nextShareChange = this->handover.nextChange(now);
        std::map<std::string, bool> assigned;
        std::map<std::string, uint32_t> shares;
        for (auto const& [serviceName, service] : this->configuration->services) {
            for (auto const& [name, target] : service.targets) {
                auto const share = this->handover.share(target, now);
                if (!share)
                    continue;
                assigned[name] = true;
                shares[target.address] = share;
                this->configure(service, target, share, now);
            }
        }
        for (auto& [name, entry] : this->targets) {
            if (!assigned.contains(name))
                entry.target->retire(now);
        }
        this->reportShares(std::move(shares));
        this->dropRetired();
    }

    /// Reports changed shares to the network layer, which closes connections that this node may no longer hold.
    void reportShares(std::map<std::string, uint32_t>&& shares)
    {
        for (auto const& [address, share] : this->reportedShares) {
            if (!shares.contains(address))
                this->reportShare(address, 0);
        }
        for (auto const& [address, share] : shares) {
            auto const found = this->reportedShares.find(address);
            if (found == this->reportedShares.end() || found->second != share)
                this->reportShare(address, share);
        }
        this->reportedShares = std::move(shares);
    }

    void reportShare(std::string const& address, uint32_t share)
    {
        if (!this->context.hooks.limitConnections)
            return;
        this->context.outbox.post([this, address, share] { this->context.hooks.limitConnections(address, share); });
    }

    void configure(ServiceDefinition const& service, TargetDefinition const& target, uint32_t share, Milliseconds now)
    {
        auto const& rule = this->configuration->ruleOf(service);
        auto const& classes = this->configuration->classes;
        auto& entry = this->targets[target.name];
        if (!entry.target) {
            entry.target = std::make_unique<TargetDispatcher>(this->context, target.name);
            entry.nextPoll = now;
            // Random phases after the first poll spread the polls of the nodes over the interval.
            entry.phase = pollInterval * this->context.hooks.random();
        }
        entry.address = target.address;
        auto const leastUrgentClass = classes.empty() ? 0 : static_cast<uint32_t>(classes.size() - 1);
        entry.target->configure(target, rule, share, leastUrgentClass, now);
    }

    void dropRetired()
    {
        std::erase_if(this->targets,
            [](auto const& item) { return item.second.target->isRetired() && item.second.target->size() == 0; });
    }

    void submit(std::string const& sender, PartRequest&& part, Milliseconds now)
    {
        ++this->context.counters.submitted;
        auto const isCommand = part.idempotence == Idempotence::NonIdempotent;
        if (isCommand && !this->commands.add(part.attempt, now)) {
            // Only the first copy of a duplicated message gets a result; a second one could contradict it.
            ++this->context.counters.duplicates;
            return;
        }
        auto const found = this->targets.find(part.target);
        if (found == this->targets.end()) {
            this->refuseUnassigned(sender, part);
            return;
        }
        if (found->second.target->holds(part.attempt)) {
            ++this->context.counters.duplicates;
            return;
        }
        auto const deadline = now + part.remaining;
        found->second.target->submit({ sender, std::move(part), now, deadline }, now);
    }

    void refuseUnassigned(std::string const& sender, PartRequest const& part)
    {
        auto result = resultWithoutAnswer(part, PartStatus::NoDispatcher);
        this->context.outbox.post([this, sender, result = std::move(result)]() mutable {
            this->context.hooks.result(sender, std::move(result));
        });
    }

    void poll(std::string const& name, Entry& entry, Milliseconds now)
    {
        if (now < entry.nextPoll || entry.target->isRetired())
            return;
        entry.nextPoll = now + pollInterval + std::exchange(entry.phase, {});
        ++this->context.counters.polls;
        this->context.outbox.post(
            [this, name, address = entry.address] { this->context.hooks.pollStatus(name, address); });
    }

    TargetDispatcher* find(std::string const& name) const
    {
        auto const found = this->targets.find(name);
        return found == this->targets.end() ? nullptr : found->second.target.get();
    }

    DispatcherContext context;
    DispatcherHandover handover;
    ConfigurationPointer configuration;
    Milliseconds nextShareChange { std::numeric_limits<double>::infinity() };
    std::map<std::string, uint32_t> reportedShares;
    std::map<std::string, Entry> targets;
    SentCommands commands;
};

Dispatcher::Dispatcher(Hooks hooks, std::string nodeName)
    : implementation(std::make_unique<Implementation>(std::move(hooks), std::move(nodeName)))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfiguration(ConfigurationPointer configuration, Milliseconds now)
{
    this->implementation->setConfiguration(std::move(configuration), now);
    this->implementation->context.outbox.flush();
}

bool Dispatcher::isDialDelayed(std::string const& address, std::string const& node, Milliseconds now) const
{
    return this->implementation->handover.isDialDelayed(address, node, now);
}

void Dispatcher::submit(std::string const& sender, PartRequest&& part, Milliseconds now)
{
    this->implementation->submit(sender, std::move(part), now);
    this->implementation->context.outbox.flush();
}

void Dispatcher::cancel(AttemptId const& attempt, Milliseconds now)
{
    for (auto& [name, entry] : this->implementation->targets) {
        if (entry.target->cancel(attempt, now))
            break;
    }
    this->implementation->context.outbox.flush();
}

void Dispatcher::onTargetAnswer(TargetAnswer&& answer, Milliseconds now)
{
    if (auto* target = this->implementation->find(answer.target))
        target->onAnswer(std::move(answer), now);
    else
        ++this->implementation->context.counters.lateAnswers;
    this->implementation->context.outbox.flush();
}

void Dispatcher::onTargetStatus(std::string const& name, TargetState state, TargetLoad load, Milliseconds now)
{
    if (auto* target = this->implementation->find(name))
        target->onStatus(state, load, now);
    this->implementation->context.outbox.flush();
}

void Dispatcher::dropPartsFrom(std::string const& sender, Milliseconds now)
{
    for (auto& [name, entry] : this->implementation->targets)
        entry.target->dropPartsFrom(sender, now);
    this->implementation->context.outbox.flush();
}

void Dispatcher::advance(Milliseconds now)
{
    if (now >= this->implementation->nextShareChange)
        this->implementation->configureTargets(now);
    for (auto& [name, entry] : this->implementation->targets) {
        entry.target->advance(now);
        this->implementation->poll(name, entry, now);
    }
    this->implementation->dropRetired();
    this->implementation->context.outbox.flush();
}

Milliseconds Dispatcher::nextWakeup() const
{
    auto next = this->implementation->nextShareChange;
    for (auto const& [name, entry] : this->implementation->targets) {
        next = std::min(next, entry.target->nextWakeup());
        if (!entry.target->isRetired())
            next = std::min(next, entry.nextPoll);
    }
    return next;
}

size_t Dispatcher::running() const
{
    size_t result = 0;
    for (auto const& [name, entry] : this->implementation->targets)
        result += entry.target->size();
    return result;
}

Json::Value Dispatcher::describe(Milliseconds now) const
{
    auto const& counts = this->implementation->context.counters;
    Json::Value result(Json::objectValue);
    auto& counters = result["counters"];
    counters["submitted"] = Json::UInt64 { counts.submitted };
    counters["sent"] = Json::UInt64 { counts.sent };
    counters["refused"] = Json::UInt64 { counts.refused };
    counters["expired"] = Json::UInt64 { counts.expired };
    counters["shed"] = Json::UInt64 { counts.shed };
    counters["duplicates"] = Json::UInt64 { counts.duplicates };
    counters["lateAnswers"] = Json::UInt64 { counts.lateAnswers };
    counters["overdue"] = Json::UInt64 { counts.overdue };
    counters["polls"] = Json::UInt64 { counts.polls };
    result["targets"] = Json::Value(Json::objectValue);
    for (auto const& [name, entry] : this->implementation->targets)
        result["targets"][name] = entry.target->describe(now);
    return result;
}

} // namespace Toucan
