#include "Gateway/RegistrySync.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Toucan {

constexpr Milliseconds firstRetry { 120 };
/// Refused calls are paid for too, and a node must notice the end of an outage well within the time in which a
/// configuration must be in force.
constexpr Milliseconds longestRetry { 1200 };
/// A node that knows nothing serves nobody, so it asks more often.
constexpr Milliseconds longestRetryUnloaded { 200 };
/// Pause after changes, so that changes in quick succession share a call.
constexpr Milliseconds changePause { 250 };
/// A connection that went silent must be noticed well within the time in which a configuration must be in force.
constexpr Milliseconds watchTime { 4000 };
/// Each answer of a relay's watch shows its followers that its news are fresh.
constexpr Milliseconds relayWatchTime { 1000 };
/// A node turns to the registry itself when a relay's news are older than this: early enough to have a configuration in
/// force within 3 s.
constexpr Milliseconds oldestNews { 2400 };
/// Bounds on the wait of a question to a relay. A question ends when the relay's news would be too old.
constexpr Milliseconds longestQuestion { 800 };
constexpr Milliseconds shortestQuestion { 100 };
/// Time after which a node serves with a first read that nobody could confirm: a node without the latest news is better
/// than none.
constexpr Milliseconds longestConfirmation { 1000 };
/// Time in which a relay that failed is not asked again.
constexpr Milliseconds relayBlock { 3000 };
/// Registrations that lapsed in an outage are back within 2 s of its end when the target lives.
constexpr Milliseconds lapsedEntryTime { 2200 };

RegistrySync::RegistrySync(Gateway& gateway, Topology topology, Hooks hooks)
    : gateway(gateway)
    , context(gateway.shared())
    , hasFollowers(!topology.ownRelay.empty())
    , relayCount(topology.relays.size())
    , hooks(std::move(hooks))
{
    for (auto& address : topology.relays) {
        if (address != topology.ownRelay)
            this->relays.push_back({ std::move(address), {}, {}, 0, 0, {} });
    }
}

bool RegistrySync::isReady() const
{
    return this->loaded && (this->confirmed || this->now() - this->loadedAt >= longestConfirmation);
}

uint32_t RegistrySync::estimatedNodes() const
{
    if (this->relayCount == 0)
        return 0;
    auto most = this->followers;
    for (auto const& relay : this->relays)
        most = std::max(most, relay.followers);
    return static_cast<uint32_t>(this->relayCount) * (most + 1);
}

void RegistrySync::start()
{
    bool const follows = !this->hasFollowers && !this->relays.empty();
    this->list(follows ? Freshness::Stale : Freshness::Latest);
}

void RegistrySync::list(Freshness freshness)
{
    this->context.metrics.count("registry_lists");
    this->hooks.list(
        freshness, [this, freshness](RegistryReply&& reply) { this->onListed(freshness, std::move(reply)); });
}

RegistrySync::Relay* RegistrySync::chooseRelay()
{
    auto const now = this->now();
    auto const& own = this->gateway.failureDomain();
    Relay* chosen = nullptr;
    double best = 0;
    for (auto& relay : this->relays) {
        if (relay.blockedUntil > now)
            continue;
        // A relay in the own failure domain is cheaper and fails together with this node.
        auto const preference = (relay.failureDomain == own ? 2 : 0) + (relay.failureDomain.empty() ? 1 : 0)
            + this->context.hooks.random();
        if (!chosen || preference > best) {
            chosen = &relay;
            best = preference;
        }
    }
    return chosen;
}

void RegistrySync::next()
{
    auto* const relay = this->hasFollowers ? nullptr : this->chooseRelay();
    if (relay)
        this->follow(*relay);
    else
        this->watch();
}

void RegistrySync::watch()
{
    this->context.metrics.count("registry_watches");
    auto const wait = this->hasFollowers || !this->relays.empty() ? relayWatchTime : watchTime;
    this->hooks.watch(this->revision, wait, [this](RegistryReply&& reply) { this->onWatched(std::move(reply)); });
}

void RegistrySync::follow(Relay& relay)
{
    // The first question asks whether the first read was recent, so that it is answered at once.
    auto const wait
        = this->confirmed ? std::clamp(oldestNews - relay.newsAge, shortestQuestion, longestQuestion) : Milliseconds {};
    this->lastAsked = relay.address;
    this->hooks.follow(relay.address, { this->revision, relay.lastObservation, wait },
        [this, &relay](RelayUpdate&& news) { this->onFollowed(relay, std::move(news)); });
}

void RegistrySync::copyFromRelay()
{
    auto* const relay = this->chooseRelay();
    if (!relay) {
        this->retryLater(&RegistrySync::listLatest);
        return;
    }
    this->hooks.copy(relay->address, [this, relay](RelayUpdate&& news) { this->onCopied(*relay, std::move(news)); });
}

void RegistrySync::onListed(Freshness freshness, RegistryReply&& reply)
{
    if (reply.status != RegistryStatus::Ok) {
        this->onFailure(reply.reason, "list");
        if (this->loaded)
            this->retryLater(&RegistrySync::listLatest);
        else
            this->copyFromRelay();
        return;
    }
    this->heardAt = this->now();
    this->onConnected();
    this->confirmed = this->confirmed || freshness == Freshness::Latest;
    this->oldCopy.reset();
    this->takeAll(std::move(reply.events), reply.revision);
    this->next();
}

void RegistrySync::onCopied(Relay& relay, RelayUpdate&& news)
{
    if (news.status == RegistryStatus::Ok && news.age <= oldestNews) {
        this->confirmed = true;
        this->installCopy(relay, std::move(news));
        return;
    }
    relay.blockedUntil = this->now() + relayBlock;
    // A relay that was cut off for long may name targets that have left since, so the others are asked first.
    if (news.status == RegistryStatus::Ok && (!this->oldCopy || news.age < this->oldCopy->age))
        this->oldCopy = std::move(news);
    if (this->chooseRelay())
        this->copyFromRelay();
    else if (this->oldCopy)
        this->installCopy(relay, std::move(*std::exchange(this->oldCopy, std::nullopt)));
    else
        this->retryLater(&RegistrySync::listLatest);
}

void RegistrySync::installCopy(Relay const& relay, RelayUpdate&& news)
{
    this->context.log.line("registry-copied",
        { { "relay", relay.address }, { "revision", std::to_string(news.revision) },
            { "age_ms", std::to_string(static_cast<int64_t>(news.age.value)) } });
    this->heardAt = this->now() - news.age;
    this->takeAll(std::move(news.events), news.revision);
    this->retryLater(&RegistrySync::watch);
}

void RegistrySync::onWatched(RegistryReply&& reply)
{
    if (reply.status == RegistryStatus::HistoryLost) {
        this->context.log.line("registry-history-lost", { { "revision", std::to_string(this->revision) } });
        this->list(Freshness::Latest);
        return;
    }
    if (reply.status == RegistryStatus::Failed) {
        this->onFailure(reply.reason, "watch");
        this->retryLater(&RegistrySync::next);
        return;
    }
    this->heardAt = this->now();
    this->confirmed = true;
    this->onConnected();
    bool const changed = !reply.events.empty();
    this->take(std::move(reply.events), reply.revision);
    if (changed)
        this->context.hooks.schedule(this->now() + changePause, [this] { this->next(); });
    else
        this->next();
}

void RegistrySync::takeObservations(std::span<TargetObservation const> observations)
{
    if (observations.empty())
        return;
    this->context.log.line("observations-taken", { { "targets", toString(observations) } });
    auto const now = this->now();
    for (auto const& observation : observations) {
        auto const& directory = this->context.directory;
        auto const target
            = observation.target.empty() ? directory.findByCode(observation.code) : directory.find(observation.target);
        if (!target)
            continue;
        target->onSlowdown(observation.slowdown, now - observation.age);
        this->context.metrics.count("observations_taken");
    }
}

void RegistrySync::onFollowed(Relay& relay, RelayUpdate&& news)
{
    if (news.status == RegistryStatus::Ok) {
        this->takeObservations(news.observations);
        relay.lastObservation = news.lastObservation;
    }
    if (news.status == RegistryStatus::Ok && news.revision >= this->revision && news.age <= oldestNews) {
        relay.failureDomain = news.failureDomain;
        relay.followers = news.followers;
        relay.newsAge = news.age;
        if (news.outageEnded)
            this->returnedAt = this->now() - *news.outageEnded;
        this->confirmed = true;
        this->onConnected();
        this->take(std::move(news.events), news.revision);
        this->next();
        return;
    }
    if (news.status == RegistryStatus::HistoryLost) {
        // The relay has read everything anew, or knows less than this node.
        relay.blockedUntil = this->now() + relayWatchTime;
        this->list(Freshness::Latest);
        return;
    }
    this->context.metrics.count("relay_failures");
    this->context.log.line("relay-left",
        { { "relay", relay.address }, { "revision", std::to_string(this->revision) },
            { "its_revision", std::to_string(news.revision) },
            { "age_ms", std::to_string(static_cast<int64_t>(news.age.value)) },
            { "why", news.status == RegistryStatus::Ok ? "its news are old" : news.reason } });
    relay.blockedUntil = this->now() + relayBlock;
    relay.newsAge = {};
    this->watch();
}

void RegistrySync::describe(RelayUpdate& news) const
{
    auto const now = this->now();
    news.age = now - this->heardAt;
    news.failureDomain = this->gateway.failureDomain();
    news.followers = this->followers;
    if (this->returnedAt && now - *this->returnedAt < lapsedEntryTime)
        news.outageEnded = now - *this->returnedAt;
}

void RegistrySync::onFailure(std::string const& reason, std::string_view call)
{
    ++this->failures;
    this->context.metrics.count("registry_failures");
    if (!this->connected && this->failures > 1)
        return;
    this->connected = false;
    this->context.log.line("registry-lost",
        { { "call", std::string(call) }, { "revision", std::to_string(this->revision) }, { "why", reason } },
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
    auto const exponent = std::clamp(this->failures, 1U, 10U) - 1;
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

void RegistrySync::take(std::vector<RegistryEvent>&& events, uint64_t revision)
{
    auto const now = this->now();
    this->revision = std::max(this->revision, revision);
    if (this->hasFollowers)
        this->relayed.append(events, this->revision);
    for (auto& event : events) {
        if (auto* const put = std::get_if<TargetPut>(&event.change)) {
            this->context.directory.put(std::move(put->registration), now);
        } else if (auto const* const removed = std::get_if<TargetRemoved>(&event.change)) {
            this->context.directory.remove(removed->id, this->removal(), this->keepUntil());
        } else if (auto* const configuration = std::get_if<ConfigurationPut>(&event.change)) {
            this->gateway.install(std::move(configuration->configuration));
        } else if (auto const* const unusable = std::get_if<UnusableEntry>(&event.change)) {
            // An entry that cannot be read names no target any more.
            if (!unusable->id.empty())
                this->context.directory.remove(unusable->id, TargetDirectory::Removal::AtOnce, now);
            this->logUnusable(*unusable);
        }
    }
    this->scheduleExpiry();
}

void RegistrySync::takeAll(std::vector<RegistryEvent>&& events, uint64_t revision)
{
    this->revision = revision;
    if (this->hasFollowers)
        this->relayed.reset(events, revision);
    std::vector<TargetRegistration> registrations;
    for (auto& event : events) {
        if (auto* const put = std::get_if<TargetPut>(&event.change))
            registrations.push_back(std::move(put->registration));
        else if (auto* const configuration = std::get_if<ConfigurationPut>(&event.change))
            this->gateway.install(std::move(configuration->configuration));
        else if (auto const* const unusable = std::get_if<UnusableEntry>(&event.change))
            this->logUnusable(*unusable);
    }
    this->context.directory.replaceAll(registrations, this->removal(), this->keepUntil(), this->now());
    this->scheduleExpiry();
    if (!this->loaded) {
        this->loadedAt = this->now();
        this->context.log.line("registry-loaded",
            { { "revision", std::to_string(revision) }, { "targets", std::to_string(this->context.directory.size()) },
                { "configuration", std::to_string(this->gateway.version()) } },
            DecisionLog::Weight::Always);
    }
    this->loaded = true;
}

void RegistrySync::scheduleExpiry()
{
    if (auto const next = this->context.directory.expire(this->now()))
        this->context.hooks.schedule(*next, [this] { this->scheduleExpiry(); });
}

} // namespace Toucan
