#include "GatewayNode/GatewayServer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Toucan {

/// Period in which relays tell each other which nodes follow them.
constexpr Milliseconds nodeReportPeriod { 1000 };
/// Shortest life of the tokens that a node without relays issues itself; they are used at once, but a request may wait
/// for a connection.
constexpr Milliseconds ownTokenLife { 100 };
/// Period in which relays are asked whether they run, and changes of the roster are decided.
constexpr Milliseconds supervisionPeriod { 500 };
/// A relay runs that has accepted a report within this time.
constexpr Milliseconds relayReportLifetime { 3000 };

static std::string joinAddresses(std::vector<std::string> const& addresses)
{
    std::string joined;
    for (auto const& address : addresses) {
        if (!joined.empty())
            joined += ',';
        joined += address.empty() ? "-" : address;
    }
    return joined;
}

RelayServer::Hooks GatewayServer::createRelayHooks()
{
    RelayServer::Hooks relayHooks;
    relayHooks.compact = this->hooks.compactEntry;
    relayHooks.reported = [this](std::span<TargetObservation const> observations) {
        if (!this->isRelay())
            return;
        for (auto const& observation : observations)
            this->relayOutbox.add(observation);
    };
    relayHooks.quota = [this](QuotaRequest const& request, std::function<void(QuotaAnswer &&)> done) {
        return this->answerQuota(request, std::move(done));
    };
    relayHooks.followed = [this](IssuingShare::Asking const& asking, std::string const& address) {
        this->issuing.onNodeHeard(asking, Clock::bootTime());
        if (!address.empty())
            this->succession.onFollower(address, Clock::now());
    };
    relayHooks.heard = [this](std::span<uint32_t const> nodes) { this->issuing.onReport(nodes, Clock::bootTime()); };
    relayHooks.answerProbe
        = [this](IssuingShare::Asker asker) { return this->issuing.answerProbe(asker, Clock::bootTime()); };
    return relayHooks;
}

void GatewayServer::countNodes()
{
    this->countsNodes = this->isRelay();
    if (!this->countsNodes)
        return;
    auto const now = Clock::now();
    auto& nodes = this->relayServer->nodes();
    nodes.onSeen(this->settings.name, now);
    if (!this->registry.isFollowable())
        nodes.keepAbsent(now);
    auto const counted = nodes.count(now);
    this->registry.updateNodes(counted);
    this->registry.storeNodes(counted, this->isFirstRunningRelay(now));
    auto report = nodes.report(this->settings.name, now);
    if (this->succession.roster())
        report.heard = this->issuing.recentlyHeard(Clock::bootTime());
    for (auto const& relay : this->succession.relays()) {
        if (relay != this->settings.relayListen)
            this->relayClient.reportNodes(relay, report, [this, relay] { this->relayHeardAt[relay] = Clock::now(); });
    }
    this->loop.schedule(now + nodeReportPeriod, [this] { this->countNodes(); });
}

bool GatewayServer::isFirstRunningRelay(Milliseconds now) const
{
    for (auto const& relay : this->succession.relays()) {
        if (relay == this->settings.relayListen)
            return true;
        auto const heard = this->relayHeardAt.find(relay);
        if (heard != this->relayHeardAt.end() && now - heard->second < relayReportLifetime)
            return false;
    }
    return false;
}

bool GatewayServer::isRelay() const { return this->succession.isRelay(); }

void GatewayServer::applyRoster(std::optional<RelayRoster> const& roster, uint64_t revision)
{
    bool const changed = this->succession.onRoster(roster, revision, Clock::now());
    if (auto const* const current = this->succession.roster()) {
        this->issuing.onRoster(*current, Clock::bootTime());
        this->gateway.sharedContext().log.line("relay-roster",
            { { "term", std::to_string(current->term) }, { "revision", std::to_string(revision) },
                { "outcome", roster && roster->term == current->term ? "applied" : "later one kept" },
                { "relays", joinAddresses(current->slots) },
                { "claimed_by", current->claim ? current->claim->by : "" } },
            DecisionLog::Delivery::Always);
    }
    if (changed)
        this->applyRelays();
    this->applyIssuingShare();
    if (!std::exchange(this->supervisesRelays, true))
        this->superviseRelays();
}

void GatewayServer::applyRelays()
{
    auto const relays = this->succession.relays();
    this->registry.setRelays(relays);
    this->quota.setRelays(relays);
    if (this->quotaIssuer) {
        auto others = relays;
        std::erase(others, this->settings.relayListen);
        this->quotaIssuer->setOthers(others);
    }
    if (this->isRelay() && this->relayServer && !this->countsNodes) {
        // Nodes that follow the other relays have to come first.
        this->relayServer->nodes() = NodeCounter(Clock::now());
        this->countNodes();
    }
}

void GatewayServer::superviseRelays()
{
    RelaySuccession::Conditions const conditions { this->hasLimits, this->registry.isFollowable(),
        this->registry.followsRelay(), this->assumedNodes() };
    for (auto const& relay : this->succession.takeProbes(conditions, Clock::now())) {
        auto const asker = conditions.isConnected ? IssuingShare::Asker::Connected : IssuingShare::Asker::Other;
        this->relayClient.probe(relay, asker, [this, relay](bool runs) {
            if (runs)
                this->succession.onAnswered(relay);
            else
                this->succession.onUnanswered(relay, Clock::now());
        });
    }
    if (auto const write = this->succession.takeWrite(conditions, Clock::now()))
        this->registry.writeRoster(*write);
    this->applyIssuingShare();
    this->loop.schedule(Clock::now() + supervisionPeriod, [this] { this->superviseRelays(); });
}

uint32_t GatewayServer::assumedNodes() const
{
    // A stored number may be a fifth too small.
    constexpr double storedReserve = 1.25;
    auto const known = this->registry.knownNodes();
    if (known.count == 0)
        return std::max(this->settings.connectionSharers, this->registry.estimatedNodes());
    bool const isStored = known.source == ExtraAttemptAllowance::Nodes::Source::Stored;
    return isStored ? static_cast<uint32_t>(std::ceil(known.count * storedReserve)) : known.count;
}

bool GatewayServer::applyIssuingShare()
{
    if (!this->quotaIssuer)
        return false;
    // A node without relays issues by its own rule until there is a roster.
    if (this->settings.relays.empty() && !this->succession.roster())
        return true;
    auto const share = this->issuing.share(this->assumedNodes(), Clock::bootTime());
    if (share == this->issuingShare)
        return share > 0;
    if (this->issuingShare == 0)
        this->quotaIssuer->succeed();
    this->gateway.sharedContext().log.line("issuing-share",
        { { "share", std::to_string(share) }, { "before", std::to_string(this->issuingShare) } },
        DecisionLog::Delivery::Always);
    this->quotaIssuer->setShare(share);
    this->issuingShare = share;
    return share > 0;
}

bool GatewayServer::answerQuota(QuotaRequest const& request, std::function<void(QuotaAnswer&&)> done)
{
    if (!this->applyIssuingShare())
        return false;
    this->quotaIssuer->handle(request, std::move(done));
    return true;
}

std::unique_ptr<QuotaIssuer> GatewayServer::createQuotaIssuer()
{
    bool const isAlone = this->settings.relays.empty();
    if (!isAlone && this->settings.relayListen.empty())
        return nullptr;
    QuotaIssuer::Options options;
    options.node = this->settings.name;
    for (auto const& relay : this->settings.relays) {
        if (relay != this->settings.relayListen)
            options.others.push_back(relay);
    }
    options.issuers = isAlone ? this->settings.connectionSharers : static_cast<uint32_t>(this->settings.relays.size());
    options.bounds = this->settings.workspaceLimits;
    if (isAlone)
        options.longestLife = std::max(options.bounds.window * options.bounds.overshoot, ownTokenLife);
    options.start = this->settings.restarted ? QuotaBucket::Start::Restarted : QuotaBucket::Start::Full;
    options.startedAt = Clock::bootTime();
    QuotaIssuer::Hooks issuerHooks;
    issuerHooks.now = [] { return Clock::bootTime(); };
    issuerHooks.schedule = [this](Milliseconds delay, std::function<void()> task) {
        this->loop.schedule(Clock::now() + delay, std::move(task));
    };
    issuerHooks.ask = [this](std::string const& issuer, QuotaRequest const& request, QuotaIssuer::AskDone done) {
        this->relayClient.askQuota(issuer, request, std::move(done));
    };
    auto issuer = std::make_unique<QuotaIssuer>(std::move(options), std::move(issuerHooks));
    if (!isAlone) {
        this->issuingShare = this->issuing.share(0, Clock::bootTime());
        issuer->setShare(this->issuingShare);
    }
    return issuer;
}

QuotaClient::Hooks GatewayServer::createQuotaHooks()
{
    QuotaClient::Hooks quotaHooks;
    quotaHooks.now = [] { return Clock::bootTime(); };
    quotaHooks.schedule = [this](Milliseconds delay, std::function<void()> task) -> std::function<void()> {
        return [this, timer = this->loop.schedule(Clock::now() + delay, std::move(task))] { this->loop.cancel(timer); };
    };
    quotaHooks.ask = [this](std::string const& relay, QuotaRequest const& request, QuotaClient::AskDone done) {
        this->askQuota(relay, request, std::move(done));
    };
    quotaHooks.count = [this](std::string_view counter, uint64_t number) {
        this->gateway.sharedContext().metrics.count(counter, number);
    };
    return quotaHooks;
}

void GatewayServer::askQuota(std::string const& relay, QuotaRequest const& request, QuotaClient::AskDone done)
{
    if (relay.empty()) {
        this->quotaIssuer->handle(request, std::move(done));
    } else if (relay == this->settings.relayListen) {
        this->loop.atTurnEnd([this, request, done = std::move(done)] {
            if (!this->answerQuota(request, done))
                done(std::nullopt);
        });
    } else {
        this->relayClient.askQuota(relay, request, std::move(done));
    }
}

void GatewayServer::setQuotaRules(RoutingConfiguration const& configuration)
{
    std::vector<NamedQuota> rules;
    for (auto const& workspace : configuration.workspaces) {
        if (workspace.hasLimit())
            rules.push_back({ workspaceLimitName(workspace.name), { workspace.ratePerSecond, workspace.burst } });
    }
    this->quota.setRules(configuration.version, rules);
    if (this->quotaIssuer)
        this->quotaIssuer->setRules(configuration.version, rules);
    this->hasLimits = !rules.empty();
    if (this->hasLimits && !std::exchange(this->supervisesRelays, true))
        this->loop.schedule(Clock::now(), [this] { this->superviseRelays(); });
}

} // namespace Toucan
