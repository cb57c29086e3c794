#include "Gateway/RegistrySync.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

constexpr Milliseconds firstRetry { 120 };
/// Refused calls are paid for too, and a node must notice the end of an outage well within the time in which a
/// configuration must be in force.
constexpr Milliseconds longestRetry { 1200 };
/// A node that knows nothing serves nobody, so it asks more often.
constexpr Milliseconds longestRetryUnloaded { 200 };
/// Pause after changes, so that changes in quick succession share a call.
constexpr Milliseconds changePause { 250 };
/// Registrations that lapsed in an outage are back within 2 s of its end when the target lives.
constexpr Milliseconds lapsedEntryTime { 2200 };

RegistrySync::RegistrySync(Gateway& gateway, Hooks hooks)
    : gateway(gateway)
    , context(gateway.shared())
    , hooks(std::move(hooks))
{
}

void RegistrySync::start() { this->list(); }

void RegistrySync::list()
{
    this->context.metrics.count("registry_lists");
    this->hooks.list([this](RegistryReply&& reply) { this->onListed(std::move(reply)); });
}

void RegistrySync::watch()
{
    this->context.metrics.count("registry_watches");
    this->hooks.watch(this->revision, [this](RegistryReply&& reply) { this->onWatched(std::move(reply)); });
}

void RegistrySync::onListed(RegistryReply&& reply)
{
    if (reply.status != RegistryStatus::Ok) {
        this->onFailure(reply, "list");
        this->retryLater(&RegistrySync::list);
        return;
    }
    this->onConnected();
    this->revision = reply.revision;
    this->applyAll(std::move(reply.changes));
    if (!this->loaded)
        this->context.log.line("registry-loaded",
            { { "revision", std::to_string(this->revision) },
                { "targets", std::to_string(this->context.directory.size()) },
                { "configuration", std::to_string(this->gateway.version()) } },
            DecisionLog::Weight::Always);
    this->loaded = true;
    this->watch();
}

void RegistrySync::onWatched(RegistryReply&& reply)
{
    if (reply.status == RegistryStatus::HistoryLost) {
        this->context.log.line("registry-history-lost", { { "revision", std::to_string(this->revision) } });
        this->list();
        return;
    }
    if (reply.status == RegistryStatus::Failed) {
        this->onFailure(reply, "watch");
        this->retryLater(&RegistrySync::watch);
        return;
    }
    this->onConnected();
    this->revision = std::max(this->revision, reply.revision);
    if (reply.changes.empty()) {
        this->watch();
        return;
    }
    this->apply(std::move(reply.changes));
    this->context.hooks.schedule(this->now() + changePause, [this] { this->watch(); });
}

void RegistrySync::onFailure(RegistryReply const& reply, std::string_view call)
{
    ++this->failures;
    this->context.metrics.count("registry_failures");
    if (!this->connected && this->failures > 1)
        return;
    this->connected = false;
    this->context.log.line("registry-lost",
        { { "call", std::string(call) }, { "revision", std::to_string(this->revision) }, { "why", reply.reason } },
        DecisionLog::Weight::Always);
}

void RegistrySync::onConnected()
{
    if (this->connected)
        return;
    this->connected = true;
    if (this->loaded)
        this->returnedAt = this->now();
    this->context.log.line(this->loaded ? "registry-regained" : "registry-connected",
        { { "failures", std::to_string(this->failures) }, { "revision", std::to_string(this->revision) } },
        DecisionLog::Weight::Always);
    this->failures = 0;
}

void RegistrySync::retryLater(void (RegistrySync::*call)())
{
    auto const exponent = std::min(this->failures, 10U) - 1;
    auto const longest = this->loaded ? longestRetry : longestRetryUnloaded;
    auto const delay = std::min(firstRetry * std::pow(2, exponent), longest);
    // Jitter keeps the nodes from calling in step after an outage.
    auto const at = this->now() + delay * (0.7 + 0.6 * this->context.hooks.random());
    this->context.hooks.schedule(at, [this, call] { (this->*call)(); });
}

TargetDirectory::Removal RegistrySync::removal() const
{
    bool const afterOutage = this->returnedAt && this->now() - *this->returnedAt < lapsedEntryTime;
    return afterOutage ? TargetDirectory::Removal::Deferred : TargetDirectory::Removal::AtOnce;
}

Milliseconds RegistrySync::keepUntil() const
{
    return this->returnedAt ? *this->returnedAt + lapsedEntryTime : this->now();
}

void RegistrySync::logUnusable(UnusableEntry const& entry)
{
    this->context.metrics.count("unusable_entries");
    this->context.log.line("entry-unusable", { { "key", entry.key }, { "why", entry.reason } });
}

void RegistrySync::apply(std::vector<RegistryChange>&& changes)
{
    auto const now = this->now();
    for (auto& change : changes) {
        if (auto* const put = std::get_if<TargetPut>(&change)) {
            this->context.directory.put(std::move(put->registration), now);
        } else if (auto const* const removed = std::get_if<TargetRemoved>(&change)) {
            this->context.directory.remove(removed->id, this->removal(), this->keepUntil());
        } else if (auto* const configuration = std::get_if<ConfigurationPut>(&change)) {
            this->gateway.install(std::move(configuration->configuration));
        } else if (auto const* const unusable = std::get_if<UnusableEntry>(&change)) {
            // An entry that cannot be read names no target any more.
            if (!unusable->id.empty())
                this->context.directory.remove(unusable->id, TargetDirectory::Removal::AtOnce, now);
            this->logUnusable(*unusable);
        }
    }
    this->scheduleExpiry();
}

void RegistrySync::applyAll(std::vector<RegistryChange>&& changes)
{
    std::vector<TargetRegistration> registrations;
    for (auto& change : changes) {
        if (auto* const put = std::get_if<TargetPut>(&change))
            registrations.push_back(std::move(put->registration));
        else if (auto* const configuration = std::get_if<ConfigurationPut>(&change))
            this->gateway.install(std::move(configuration->configuration));
        else if (auto const* const unusable = std::get_if<UnusableEntry>(&change))
            this->logUnusable(*unusable);
    }
    this->context.directory.replaceAll(registrations, this->removal(), this->keepUntil(), this->now());
    this->scheduleExpiry();
}

void RegistrySync::scheduleExpiry()
{
    if (auto const next = this->context.directory.expire(this->now()))
        this->context.hooks.schedule(*next, [this] { this->scheduleExpiry(); });
}

} // namespace Toucan
