#include "Gateway/RegistrySync.h"

#include "Gateway/RegistrySyncTimes.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Toucan {

/// Delay before the first retry of a failed call; it doubles with each further failure.
constexpr Milliseconds initialRetryDelay { 120 };
/// Refused calls are billed as well, and a node must detect the end of an outage well within the time in which a new
/// configuration must be in force (3 s).
constexpr Milliseconds maximumRetryDelay { 1200 };
/// A node that has read no entries yet cannot serve requests, so it retries more often.
constexpr Milliseconds maximumRetryDelayUnloaded { 200 };
/// Pause after a reply with changes, so that the next call returns several changes that follow in quick succession.
constexpr Milliseconds changePause { 250 };
/// A dead connection must be detected well within the time in which a new configuration must be in force.
constexpr Milliseconds watchTime { 4000 };
/// Time after which a node serves with an unconfirmed first read: a node with a state that may be old is better than
/// none.
constexpr Milliseconds maximumConfirmationWait { 1000 };

RegistrySync::RegistrySync(Gateway& gateway, Topology topology, Hooks hooks)
    : gateway(gateway)
    , context(gateway.sharedContext())
    , ownAddress(std::move(topology.ownAddress))
    , isRelay(!topology.ownRelay.empty())
    , relayCount(topology.relays.size())
    , assumedNodes(topology.assumedNodes)
    , hooks(std::move(hooks))
{
    for (auto& address : topology.relays) {
        if (address != topology.ownRelay)
            this->relays.push_back(std::make_shared<Relay>(Relay { std::move(address), {}, {}, 0, 0, {}, {} }));
    }
}

Milliseconds RegistrySync::bootTime() const { return this->hooks.bootTime ? this->hooks.bootTime() : this->now(); }

void RegistrySync::onConfirmed(Milliseconds at)
{
    if (this->hooks.confirmed)
        this->hooks.confirmed(at);
}

bool RegistrySync::isReady() const
{
    return this->loaded && (this->confirmed || this->now() - this->loadedAt >= maximumConfirmationWait);
}

bool RegistrySync::isFollowable() const { return this->now() - this->lastContactAt <= maximumStaleness; }

void RegistrySync::start()
{
    this->settledSince = this->bootTime();
    this->updateNodes({});
    bool const follows = !this->isRelay && !this->relays.empty();
    this->list(follows ? Freshness::Stale : Freshness::Latest);
}

void RegistrySync::list(Freshness freshness)
{
    this->context.metrics.count("registry_lists");
    this->hooks.list(freshness, [this, freshness, at = this->bootTime()](RegistryReply&& reply) {
        this->onListed(freshness, std::move(reply), at);
    });
}

void RegistrySync::waitForChanges()
{
    if (this->isRelay && this->registryRelay.isEmpty() && this->loaded) {
        this->listLatest();
        return;
    }
    auto const relay = this->isRelay ? nullptr : this->chooseRelay();
    if (relay)
        this->follow(relay);
    else
        this->watch();
}

void RegistrySync::watch()
{
    this->context.metrics.count("registry_watches");
    auto const wait = this->isRelay || !this->relays.empty() ? relayWatchTime : watchTime;
    this->hooks.watch(this->position, wait,
        [this, at = this->bootTime()](RegistryReply&& reply) { this->onWatched(std::move(reply), at); });
}

void RegistrySync::onListed(Freshness freshness, RegistryReply&& reply, Milliseconds askedAt)
{
    bool const isLate = reply.status == RegistryStatus::Ok && this->isOfEarlierEra(reply);
    if (reply.status != RegistryStatus::Ok || isLate) {
        this->seenEra = 0;
        this->onFailure(isLate ? "an answer of an earlier era" : reply.reason, "list");
        this->copyFromRelay();
        return;
    }
    bool const first = !this->loaded;
    this->lastContactAt = this->now();
    this->onConnected();
    // A read that may be seconds old does not show that the registry answers now.
    if (freshness == Freshness::Latest)
        this->onAnswered();
    this->confirmed = this->confirmed || freshness == Freshness::Latest;
    this->staleCopy.reset();
    // Before the changes, so that a roster among them counts as confirmed.
    if (freshness == Freshness::Latest)
        this->onConfirmed(askedAt);
    this->applySnapshot(std::move(reply.events), reply.position);
    // A follower asks its relay for the configuration with its first request.
    if (first && this->isRelay && this->position.era > 0)
        this->requestNewerConfiguration();
    this->waitForChanges();
}

void RegistrySync::onWatched(RegistryReply&& reply, Milliseconds askedAt)
{
    // Revisions are issued again after a restoration, so the changes after this node's revision are not those that it
    // lacks.
    bool const isRestored = reply.status == RegistryStatus::Ok && reply.position.era > this->position.era;
    if (reply.status == RegistryStatus::HistoryLost || isRestored) {
        this->seenEra = reply.position.era;
        this->context.log.line("registry-history-lost",
            { { "revision", std::to_string(this->position.revision) }, { "era", std::to_string(this->position.era) } });
        this->list(Freshness::Latest);
        return;
    }
    bool const isLate = reply.status == RegistryStatus::Ok && this->isOfEarlierEra(reply);
    if (reply.status == RegistryStatus::Failed || isLate) {
        this->onFailure(isLate ? "an answer of an earlier era" : reply.reason, "watch");
        if (this->isRelay)
            this->pollRelay();
        else
            this->retryLater(&RegistrySync::waitForChanges);
        return;
    }
    this->lastContactAt = this->now();
    this->confirmed = true;
    this->onConnected();
    this->onAnswered();
    bool const changed = !reply.events.empty();
    this->onConfirmed(askedAt);
    this->applyChanges(std::move(reply.events), reply.position);
    if (changed)
        this->context.hooks.schedule(this->now() + changePause, [this] { this->waitForChanges(); });
    else
        this->waitForChanges();
}

void RegistrySync::applyObservations(std::span<TargetObservation const> observations)
{
    if (observations.empty())
        return;
    this->context.log.line("observations-taken", { { "targets", toString(observations) } });
    auto const now = this->now();
    for (auto const& observation : observations) {
        if (observation.termination) {
            this->context.quarantine.onReport(*observation.termination, now - observation.age, now);
            this->context.metrics.count("termination_reports_taken");
            continue;
        }
        auto& directory = this->context.directory;
        auto const target = observation.target.empty() ? directory.findByHash(observation.idHash)
                                                       : directory.find(observation.target);
        if (!target)
            continue;
        if (observation.isAboutRateLimit())
            directory.onSharedRateLimit(
                target, { *observation.rateLimit, this->context.hooks.random(), now - observation.age });
        else if (!observation.leaving)
            target->onSharedSlowdown(observation.slowdown, now - observation.age);
        // An observation from before this node knew the target may be of an earlier incarnation.
        else if (now - observation.age >= target->knownSince())
            directory.onLeaving(target);
        this->context.metrics.count("observations_taken");
    }
}

void RegistrySync::onFailure(std::string const& reason, std::string_view call)
{
    ++this->failures;
    this->contact.onFailed(this->now());
    this->context.metrics.count("registry_failures");
    if (!this->connected && this->failures > 1)
        return;
    this->connected = false;
    this->context.log.line("registry-lost",
        { { "call", std::string(call) }, { "revision", std::to_string(this->position.revision) }, { "why", reason } },
        DecisionLog::Delivery::Always);
}

void RegistrySync::onConnected()
{
    if (this->connected)
        return;
    this->connected = true;
    this->context.log.line(this->loaded ? "registry-regained" : "registry-connected",
        { { "failures", std::to_string(this->failures) }, { "revision", std::to_string(this->position.revision) } },
        DecisionLog::Delivery::Always);
    this->failures = 0;
}

void RegistrySync::retryLater(void (RegistrySync::*call)())
{
    auto const exponent = std::clamp(this->failures, 1U, 10U) - 1;
    auto const maximumDelay = this->loaded ? maximumRetryDelay : maximumRetryDelayUnloaded;
    auto const delay = std::min(initialRetryDelay * std::pow(2, exponent), maximumDelay);
    // Jitter keeps the nodes from calling at the same time after an outage.
    auto const at = this->now() + delay * (0.7 + 0.6 * this->context.hooks.random());
    this->context.hooks.schedule(at, [this, call] { (this->*call)(); });
}

TargetDirectory::Removal RegistrySync::removal() const
{
    return this->contact.isInGrace(this->now()) ? TargetDirectory::Removal::Deferred : TargetDirectory::Removal::AtOnce;
}

Milliseconds RegistrySync::keepUntil() const
{
    auto const ended = this->contact.outageEndedAt();
    return ended ? *ended + expiredEntryGrace : this->now();
}

void RegistrySync::logUnusable(UnusableEntry const& entry)
{
    this->context.metrics.count("unusable_entries");
    this->context.log.line("entry-unusable", { { "key", entry.key }, { "why", entry.reason } });
}

bool RegistrySync::isOfEarlierEra(RegistryReply const& reply) const
{
    return this->loaded && reply.position.era < std::max(this->position.era, this->seenEra);
}

void RegistrySync::applyChanges(std::vector<RegistryEvent>&& events, RegistryPosition reached)
{
    auto const now = this->now();
    this->position = std::max(this->position, reached);
    if (this->isRelay)
        this->registryRelay.append(events, this->position.revision);
    for (auto& event : events) {
        if (auto* const put = std::get_if<TargetPut>(&event.change)) {
            put->registration.position = { this->position.era, event.revision };
            this->context.directory.put(std::move(put->registration), now);
        } else if (auto const* const removed = std::get_if<TargetRemoved>(&event.change)) {
            this->context.directory.remove(removed->id, this->removal(), this->keepUntil());
        } else if (auto* const configuration = std::get_if<ConfigurationPut>(&event.change)) {
            this->gateway.install(std::move(configuration->configuration));
        } else if (auto const* const evacuation = std::get_if<EvacuationPut>(&event.change)) {
            this->context.directory.evacuate(evacuation->failureDomain);
        } else if (auto const* const ended = std::get_if<EvacuationRemoved>(&event.change)) {
            this->context.directory.endEvacuation(ended->failureDomain);
        } else if (auto const* const unusable = std::get_if<UnusableEntry>(&event.change)) {
            // A target whose entry cannot be read is removed.
            if (!unusable->id.empty())
                this->context.directory.remove(unusable->id, TargetDirectory::Removal::AtOnce, now);
            this->logUnusable(*unusable);
        } else if (auto const* const nodes = std::get_if<NodeCountPut>(&event.change)) {
            this->applyNodeCount(event.key, *nodes);
        } else if (auto const* const roster = std::get_if<RosterPut>(&event.change)) {
            this->applyRoster(event, *roster);
        }
    }
    this->scheduleExpiry();
}

void RegistrySync::applySnapshot(std::vector<RegistryEvent>&& events, RegistryPosition read)
{
    if (this->loaded && read.era != this->position.era) {
        // What was written after the older copy is gone, and live targets register again as after an outage.
        this->contact.onRestored(this->now());
        this->context.metrics.count("registry_restorations");
        this->context.log.line("registry-restored",
            { { "era", std::to_string(read.era) }, { "before", std::to_string(this->position.era) },
                { "revision", std::to_string(read.revision) },
                { "revision_before", std::to_string(this->position.revision) } },
            DecisionLog::Delivery::Always);
    }
    this->position = read;
    if (this->isRelay)
        this->registryRelay.reset(events, read);
    std::vector<TargetRegistration> registrations;
    std::set<std::string> evacuations;
    bool const hadRoster = std::exchange(this->hasRoster, false);
    for (auto& event : events) {
        if (auto* const put = std::get_if<TargetPut>(&event.change)) {
            put->registration.position = { read.era, event.revision };
            registrations.push_back(std::move(put->registration));
        } else if (auto* const configuration = std::get_if<ConfigurationPut>(&event.change))
            this->gateway.install(std::move(configuration->configuration));
        else if (auto const* const evacuation = std::get_if<EvacuationPut>(&event.change))
            evacuations.insert(evacuation->failureDomain);
        else if (auto const* const unusable = std::get_if<UnusableEntry>(&event.change))
            this->logUnusable(*unusable);
        else if (auto const* const nodes = std::get_if<NodeCountPut>(&event.change))
            this->applyNodeCount(event.key, *nodes);
        else if (auto const* const roster = std::get_if<RosterPut>(&event.change))
            this->applyRoster(event, *roster);
    }
    // A registry that was restored from a copy may hold none any more.
    if (hadRoster && !this->hasRoster && this->hooks.rosterRead)
        this->hooks.rosterRead(std::nullopt, 0);
    // Before the targets, so that none of an evacuated failure domain is used in between.
    this->context.directory.replaceEvacuations(evacuations, this->removal(), this->keepUntil());
    this->context.directory.replaceAll(registrations, this->removal(), this->keepUntil(), this->now());
    this->scheduleExpiry();
    if (!this->loaded) {
        this->loadedAt = this->now();
        this->context.log.line("registry-loaded",
            { { "revision", std::to_string(read.revision) }, { "era", std::to_string(read.era) },
                { "targets", std::to_string(this->context.directory.size()) },
                { "configuration", std::to_string(this->gateway.version()) } },
            DecisionLog::Delivery::Always);
    }
    this->loaded = true;
}

void RegistrySync::scheduleExpiry()
{
    if (auto const next = this->context.directory.expire(this->now()))
        this->context.hooks.schedule(*next, [this] { this->scheduleExpiry(); });
}

} // namespace Toucan
