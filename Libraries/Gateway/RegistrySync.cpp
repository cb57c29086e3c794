#include "Gateway/RegistrySync.h"

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
/// A relay waits less, because each answer confirms to its followers that its state is recent. A node that has
/// relays but watches the registry itself waits as long as a relay.
constexpr Milliseconds relayWatchTime { 1000 };
/// A node watches the registry itself when a relay's state is older than this: early enough to have a new
/// configuration in force within 3 s.
constexpr Milliseconds maximumStaleness { 2400 };
/// Bounds on the wait of a request to a relay, which ends before the relay's state would be too old.
constexpr Milliseconds maximumRelayWait { 800 };
constexpr Milliseconds minimumRelayWait { 100 };
/// Time after which a node serves with an unconfirmed first read: a node with a state that may be old is better than
/// none.
constexpr Milliseconds maximumConfirmationWait { 1000 };
/// Time in which no request is sent to a relay that failed.
constexpr Milliseconds relayBlockTime { 3000 };
/// Grace period for registrations that expired in an outage: a live target renews its registration within 2 s of the
/// end of the outage.
constexpr Milliseconds expiredEntryGrace = RegistryContact::grace;

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

uint32_t RegistrySync::estimatedNodes() const
{
    if (this->countedNodes)
        return *this->countedNodes;
    auto const stored = this->storedNodes.stored().value_or(0);
    if (this->relayCount == 0)
        return stored;
    auto largestCount = this->followers;
    for (auto const& relay : this->relays)
        largestCount = std::max(largestCount, relay->followers);
    return std::max(static_cast<uint32_t>(this->relayCount) * (largestCount + 1), stored);
}

ExtraAttemptAllowance::Nodes RegistrySync::knownNodes() const
{
    using Source = ExtraAttemptAllowance::Nodes::Source;
    if (this->countedNodes)
        return { *this->countedNodes, Source::Counted };
    return { this->storedNodes.stored().value_or(0), Source::Stored };
}

bool RegistrySync::isFollowable() const { return this->now() - this->lastContactAt <= maximumStaleness; }

void RegistrySync::updateNodes(std::optional<uint32_t> counted)
{
    if (counted)
        this->countedNodes = counted;
    auto const nodes = this->countedNodes.value_or(std::max(this->assumedNodes, this->estimatedNodes()));
    auto const before = this->context.directory.sharingNodes();
    if (nodes == before)
        return;
    this->context.directory.setSharingNodes(nodes, this->now());
    this->context.log.line("nodes-counted",
        { { "nodes", std::to_string(nodes) }, { "before", std::to_string(before) },
            { "source",
                this->countedNodes                        ? "relays"
                    : this->storedNodes.stored() == nodes ? "store"
                                                          : "estimate" } });
}

void RegistrySync::storeNodes(std::optional<uint32_t> counted, bool isFirstRelay)
{
    if (!this->hooks.writeNodes)
        return;
    auto const nodes = this->storedNodes.takeWrite({ counted, isFirstRelay, this->connected }, this->now());
    if (!nodes)
        return;
    this->context.metrics.count("node_count_writes");
    this->hooks.writeNodes(*nodes, [this, nodes = *nodes](std::string const& failure) {
        this->context.log.line("nodes-stored",
            { { "nodes", std::to_string(nodes) }, { "outcome", failure.empty() ? "written" : "failed" },
                { "why", failure } });
    });
}

void RegistrySync::applyNodeCount(std::string const& key, NodeCountPut const& put)
{
    if (!put.fault.empty())
        this->logUnusable({ key, "", put.fault });
    this->storedNodes.onStored(put.nodes);
    this->updateNodes({});
}

void RegistrySync::applyRoster(RegistryEvent const& event, RosterPut const& put)
{
    if (!put.fault.empty())
        this->logUnusable({ event.key, "", put.fault });
    this->hasRoster = put.roster.has_value();
    if (this->hooks.rosterRead)
        this->hooks.rosterRead(put.roster, event.revision);
}

void RegistrySync::writeRoster(RelaySuccession::Write const& write)
{
    if (!this->hooks.writeRoster)
        return;
    this->context.metrics.count("relay_roster_writes");
    this->hooks.writeRoster(write.expectedRevision, write.roster,
        [this, term = write.roster.term, reason = std::string(write.reason)](std::string const& failure) {
            this->context.log.line("relay-roster-written",
                { { "term", std::to_string(term) }, { "reason", reason },
                    { "outcome", failure.empty() ? "written" : "failed" }, { "why", failure } },
                DecisionLog::Delivery::Always);
        });
}

void RegistrySync::setAssumedNodes(uint32_t count)
{
    this->assumedNodes = count;
    this->updateNodes({});
}

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

void RegistrySync::onFailure(std::string const& reason, std::string_view call)
{
    ++this->failures;
    this->contact.onFailed();
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
    if (endedBefore)
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
    auto const ended = this->contact.outageEndedAt();
    bool const afterOutage = ended && this->now() - *ended < expiredEntryGrace;
    return afterOutage ? TargetDirectory::Removal::Deferred : TargetDirectory::Removal::AtOnce;
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
