#include "Gateway/RegistrySync.h"
#include "Gateway/RegistrySyncTimes.h"

#include <algorithm>
#include <utility>

namespace Toucan {

/// Bounds on the wait of a request to a relay, which ends before the relay's state would be too old.
constexpr Milliseconds maximumRelayWait { 800 };
constexpr Milliseconds minimumRelayWait { 100 };
/// Time in which no request is sent to a relay that failed.
constexpr Milliseconds relayBlockTime { 3000 };

void RegistrySync::setRelays(std::vector<std::string> const& addresses)
{
    auto const before = std::exchange(this->relays, {});
    for (auto const& relay : before) {
        if (std::find(addresses.begin(), addresses.end(), relay->address) == addresses.end())
            this->settledSince = std::max(this->settledSince, relay->answeredAt);
    }
    for (auto const& address : addresses) {
        if (address == this->ownAddress)
            continue;
        auto const known = std::find_if(
            before.begin(), before.end(), [&address](auto const& relay) { return relay->address == address; });
        this->relays.push_back(
            known == before.end() ? std::make_shared<Relay>(Relay { address, {}, {}, 0, 0, {}, {} }) : *known);
    }
    this->relayCount = addresses.size();
    bool const wasRelay = this->isRelay;
    this->isRelay = std::find(addresses.begin(), addresses.end(), this->ownAddress) != addresses.end();
    // The entries that a new relay forwards are read before its next watch.
    if (wasRelay && !this->isRelay)
        this->registryRelay.clear();
}

bool RegistrySync::followsRelay() const { return this->now() - this->followedAt <= maximumStaleness; }

void RegistrySync::onAnsweredBy(Relay& relay)
{
    relay.answeredAt = this->bootTime();
    bool const isPresent = std::any_of(
        this->relays.begin(), this->relays.end(), [&relay](auto const& entry) { return entry.get() == &relay; });
    if (!isPresent)
        this->settledSince = relay.answeredAt;
}

std::shared_ptr<RegistrySync::Relay> RegistrySync::chooseRelay()
{
    auto const now = this->now();
    auto const& own = this->gateway.failureDomain();
    std::shared_ptr<Relay> chosen;
    double best = 0;
    for (auto const& relay : this->relays) {
        if (relay->blockedUntil > now)
            continue;
        // Traffic to a relay in this node's failure domain costs less, and the relay fails together with the node.
        auto const preference = (relay->failureDomain == own ? 2 : 0) + (relay->failureDomain.empty() ? 1 : 0)
            + this->context.hooks.random();
        if (!chosen || preference > best) {
            chosen = relay;
            best = preference;
        }
    }
    return chosen;
}

void RegistrySync::follow(std::shared_ptr<Relay> const& relay)
{
    // The first request only confirms the first read, so it does not wait for changes.
    auto const wait = this->confirmed
        ? std::clamp(maximumStaleness - relay->staleness, minimumRelayWait, maximumRelayWait)
        : Milliseconds {};
    this->lastFollowedRelay = relay->address;
    this->hooks.follow(
        relay->address, this->requestTo(*relay, wait), [this, relay, at = this->bootTime()](RelayUpdate&& update) {
            this->onFollowed(*relay, std::move(update), at);
        });
}

RelayRequest RegistrySync::requestTo(Relay const& relay, Milliseconds wait) const
{
    RelayRequest request { this->position, relay.lastObservation, wait };
    // A registry that was never restored shows no older configuration.
    if (this->position.era > 0)
        request.configuration = this->gateway.version();
    if (auto const term = this->hooks.rosterTerm ? this->hooks.rosterTerm() : 0; term > 0) {
        request.address = this->ownAddress;
        request.term = term;
        request.settledFor = this->bootTime() - this->settledSince;
    }
    return request;
}

void RegistrySync::pollRelay()
{
    auto const relay = this->chooseRelay();
    if (!relay) {
        this->retryLater(&RegistrySync::waitForChanges);
        return;
    }
    this->hooks.follow(relay->address, this->requestTo(*relay, {}),
        [this, relay, at = this->bootTime()](RelayUpdate&& update) { this->onPolled(relay, std::move(update), at); });
}

void RegistrySync::onPolled(std::shared_ptr<Relay> const& relay, RelayUpdate&& update, Milliseconds askedAt)
{
    if (update.status != RegistryStatus::Failed)
        this->onAnsweredBy(*relay);
    if (update.status == RegistryStatus::Ok) {
        this->applyObservations(update.observations);
        relay->followers = update.followers;
        this->updateNodes(update.nodes);
        relay->lastObservation = update.lastObservation;
    }
    if (update.status == RegistryStatus::HistoryLost) {
        // The other relay has read all entries again, for example after the registry was restored.
        this->copyFrom(relay);
        return;
    }
    if (this->isUsable(update)) {
        relay->failureDomain = update.failureDomain;
        relay->followers = update.followers;
        // The followers of this relay must not take its state for more recent than the other relay's.
        this->lastContactAt = std::max(this->lastContactAt, this->now() - update.age);
        this->applyContactOf(update);
        if (update.confirmedAge)
            this->onConfirmed(askedAt - *update.confirmedAge);
        this->applyChanges(std::move(update.events), update.position);
    } else {
        relay->blockedUntil = this->now() + relayBlockTime;
    }
    this->retryLater(&RegistrySync::waitForChanges);
}

void RegistrySync::copyFromRelay()
{
    auto const relay = this->chooseRelay();
    if (!relay) {
        this->retryLater(&RegistrySync::listLatest);
        return;
    }
    this->copyFrom(relay);
}

void RegistrySync::copyFrom(std::shared_ptr<Relay> const& relay)
{
    this->hooks.copy(
        relay->address, [this, relay](RelayUpdate&& update) { this->onCopied(*relay, std::move(update)); });
}

void RegistrySync::requestNewerConfiguration()
{
    for (auto const& relay : this->relays) {
        this->hooks.copy(relay->address, [this](RelayUpdate&& update) {
            for (auto& event : update.events) {
                if (!std::holds_alternative<ConfigurationPut>(event.change))
                    continue;
                this->registryRelay.keepConfiguration(event);
                this->gateway.install(std::move(std::get<ConfigurationPut>(event.change).configuration));
            }
        });
    }
}

bool RegistrySync::isUsable(RelayUpdate const& update) const
{
    return update.status == RegistryStatus::Ok && update.age <= maximumStaleness
        && update.position.era == this->position.era && update.position >= this->position;
}

void RegistrySync::onCopied(Relay& relay, RelayUpdate&& update)
{
    // A node that has entries keeps them rather than older ones.
    bool const older = this->loaded && update.position < this->position;
    if (update.status == RegistryStatus::Ok && update.age <= maximumStaleness && !older) {
        this->confirmed = true;
        this->installCopy(relay.address, std::move(update));
        return;
    }
    relay.blockedUntil = this->now() + relayBlockTime;
    // A relay that has lost the registry for long may name removed targets, so the other relays are tried first.
    bool const youngest = !this->staleCopy || update.age < this->staleCopy->age;
    if (update.status == RegistryStatus::Ok && !this->loaded && youngest) {
        this->staleCopy = std::move(update);
        this->staleCopySource = relay.address;
    }
    if (this->chooseRelay())
        this->copyFromRelay();
    else if (this->staleCopy)
        this->installCopy(this->staleCopySource, std::move(*std::exchange(this->staleCopy, std::nullopt)));
    else
        this->retryLater(&RegistrySync::listLatest);
}

void RegistrySync::installCopy(std::string const& source, RelayUpdate&& update)
{
    this->context.log.line("registry-copied",
        { { "relay", source }, { "revision", std::to_string(update.position.revision) },
            { "era", std::to_string(update.position.era) },
            { "age_ms", std::to_string(static_cast<int64_t>(update.age.value)) } });
    this->lastContactAt = this->now() - update.age;
    this->applyContactOf(update);
    this->applySnapshot(std::move(update.events), update.position);
    this->retryLater(&RegistrySync::watch);
}

void RegistrySync::onFollowed(Relay& relay, RelayUpdate&& update, Milliseconds askedAt)
{
    if (update.status != RegistryStatus::Failed)
        this->onAnsweredBy(relay);
    if (update.status == RegistryStatus::Ok) {
        this->applyObservations(update.observations);
        relay.followers = update.followers;
        this->updateNodes(update.nodes);
        relay.lastObservation = update.lastObservation;
    }
    if (this->isUsable(update)) {
        relay.failureDomain = update.failureDomain;
        relay.staleness = update.age;
        this->applyContactOf(update);
        this->confirmed = true;
        this->followedAt = this->now() - update.age;
        this->onConnected();
        if (update.confirmedAge)
            this->onConfirmed(askedAt - *update.confirmedAge);
        this->applyChanges(std::move(update.events), update.position);
        this->waitForChanges();
        return;
    }
    bool const isRestored = update.status == RegistryStatus::Ok && update.position.era > this->position.era;
    if (update.status == RegistryStatus::HistoryLost || isRestored) {
        // The relay has read all entries again, or has not read any yet.
        relay.blockedUntil = this->now() + relayWatchTime;
        this->list(Freshness::Latest);
        return;
    }
    this->context.metrics.count("relay_failures");
    this->context.log.line("relay-left",
        { { "relay", relay.address }, { "revision", std::to_string(this->position.revision) },
            { "its_revision", std::to_string(update.position.revision) }, { "era", std::to_string(this->position.era) },
            { "its_era", std::to_string(update.position.era) },
            { "age_ms", std::to_string(static_cast<int64_t>(update.age.value)) },
            { "why", update.status == RegistryStatus::Ok ? "its news are old" : update.reason } });
    relay.blockedUntil = this->now() + relayBlockTime;
    relay.staleness = {};
    this->watch();
}

void RegistrySync::addRelayStatus(RelayUpdate& update) const
{
    auto const now = this->now();
    update.age = now - this->lastContactAt;
    update.failureDomain = this->gateway.failureDomain();
    update.followers = this->followers;
    if (this->hooks.confirmedAge)
        update.confirmedAge = this->hooks.confirmedAge();
    if (auto const ended = this->contact.outageEndedAt(); ended && now - *ended < expiredEntryGrace)
        update.outageEnded = now - *ended;
    if (auto const since = this->contact.since())
        update.connectedFor = now - *since;
}

void RegistrySync::onAnswered() { this->applyVerdict(this->contact.onAnswered(this->now()), {}, "own call"); }

void RegistrySync::applyContactOf(RelayUpdate const& update)
{
    auto const now = this->now();
    auto const until = now - update.age;
    auto const ended = update.outageEnded ? std::optional(now - *update.outageEnded) : std::nullopt;
    // A relay of the version before states only the end of an outage.
    auto const from = update.connectedFor ? now - *update.connectedFor
                                          : ended.value_or(std::min(this->contact.last().value_or(until), until));
    auto const before = this->contact.outageEndedAt();
    this->applyVerdict(this->contact.onSpan({ from, until }, ended), before, "another relay");
}

void RegistrySync::applyVerdict(
    RegistryContact::Verdict verdict, std::optional<Milliseconds> endedBefore, std::string_view evidence)
{
    if (verdict == RegistryContact::Verdict::Unchanged)
        return;
    bool const isOutage = verdict == RegistryContact::Verdict::Outage;
    this->context.metrics.count(isOutage ? "registry_outages" : "registry_outages_refuted");
    auto const ended = isOutage ? this->contact.outageEndedAt() : endedBefore;
    this->context.log.line(isOutage ? "registry-outage" : "registry-outage-refuted",
        { { "evidence", std::string(evidence) },
            { "ended_ms", ended ? std::to_string(static_cast<int64_t>((this->now() - *ended).value)) : "" } },
        DecisionLog::Delivery::Always);
    if (isOutage) {
        if (this->isRelay)
            this->verifyOutage();
        return;
    }
    // What is deferred after a restoration stays so.
    if (endedBefore && !this->contact.isInGrace(this->now()))
        this->context.directory.releaseDeferred(*endedBefore + expiredEntryGrace, this->now());
    this->scheduleExpiry();
    // Followers took this relay's word for the outage.
    this->registryRelay.wake();
}

void RegistrySync::verifyOutage()
{
    for (auto const& relay : this->relays) {
        this->hooks.follow(relay->address, this->requestTo(*relay, {}), [this, relay](RelayUpdate&& update) {
            if (update.status != RegistryStatus::Failed)
                this->onAnsweredBy(*relay);
            bool const isRecent = update.status == RegistryStatus::Ok && update.age <= maximumStaleness
                && update.position.era == this->position.era;
            if (isRecent)
                this->applyContactOf(update);
        });
    }
}

} // namespace Toucan
