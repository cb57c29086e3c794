#include "Quota/QuotaIssuer.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace Toucan {

constexpr double millisecondsPerSecond = 1000;
/// Demand that is not repeated for this time is forgotten.
constexpr Milliseconds demandLife { 2000 };
/// Longest time for which an answer is kept while tokens are borrowed; nodes wait 25 ms.
constexpr Milliseconds longestHold { 10 };
/// Time for which another issuer that did not answer is not asked.
constexpr Milliseconds unreachablePause { 1000 };
/// Range of the time for which an issuer that had too few tokens is not asked for that limit again.
constexpr Milliseconds shortestScarcity { 10 };
constexpr Milliseconds longestScarcity { 50 };
/// Time of demand for which tokens are kept at hand.
constexpr Milliseconds reserveTime { 250 };
/// Shortest time between messages that borrow in advance only.
constexpr Milliseconds forecastPeriod { 20 };
/// Borrowed tokens are not passed on when less life is left: the node could hardly use them. At most the share of the
/// whole life of a token.
constexpr Milliseconds shortestUsefulLife { 50 };
constexpr double shortestUsefulShare = 0.5;
constexpr Milliseconds removalPeriod { 1000 };
/// Restarts of each issuer within a window and the life of a token for which the bound holds. A restarted issuer does
/// not know what it issued, but must serve at once when the whole fleet restarts.
constexpr double restartsInWindow = 2;
/// Least capacity of one bucket, so that a rare request finds a token.
constexpr double tokensOfIdleIssuer = 2;
/// Longest Retry-After of a limit.
constexpr Milliseconds longestRetryAfter { 10000 };

QuotaIssuer::QuotaIssuer(Options options, Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , share(1.0 / this->options.issuers)
{
    this->addChannels();
}

void QuotaIssuer::addChannels()
{
    for (auto const& other : this->options.others)
        this->channels.push_back({ other, false, {}, {}, {}, {}, {} });
}

void QuotaIssuer::setOthers(std::vector<std::string> const& addresses)
{
    if (addresses == this->options.others)
        return;
    this->options.others = addresses;
    ++this->othersVersion;
    this->channels.clear();
    this->addChannels();
    for (auto& [name, limit] : this->limits) {
        if (limit.activity)
            limit.activity->scarceUntil.assign(this->channels.size(), {});
    }
    this->pump();
}

void QuotaIssuer::setShare(double newShare)
{
    if (newShare == this->share)
        return;
    this->share = newShare;
    auto const now = this->hooks.now();
    for (auto& [name, limit] : this->limits)
        limit.bucket.setShape(this->shapeOf(limit.rule, limit.life), now);
}

void QuotaIssuer::succeed()
{
    this->options.start = QuotaBucket::Start::Empty;
    this->options.startedAt = this->hooks.now();
}

QuotaBucket::Shape QuotaIssuer::shapeOf(QuotaRule const& rule, Milliseconds life) const
{
    auto const capacity = rule.capacity(this->options.bounds, life);
    auto const kept = std::max(rule.burst, tokensOfIdleIssuer * this->options.issuers);
    auto const restartTokens = std::max(capacity - kept, 0.0) / (1 + restartsInWindow);
    return { rule.ratePerSecond * this->share, (capacity - restartsInWindow * restartTokens) * this->share,
        restartTokens * this->share };
}

QuotaBucket::Start QuotaIssuer::startOf(Milliseconds life, Milliseconds now) const
{
    // Tokens that an earlier process issued have ended by then, and left every window that now begins.
    bool const oldTokensEnded = now >= this->options.startedAt + this->options.bounds.window + life;
    return oldTokensEnded ? QuotaBucket::Start::Full : this->options.start;
}

void QuotaIssuer::setRules(uint64_t newVersion, std::span<NamedQuota const> rules)
{
    auto const now = this->hooks.now();
    this->version = newVersion;
    std::unordered_set<std::string_view> present;
    for (auto const& [name, rule] : rules) {
        present.insert(name);
        auto const life = std::min(rule.lifetime(this->options.bounds), this->options.longestLife);
        auto const shape = this->shapeOf(rule, life);
        auto const found = this->limits.find(name);
        if (found == this->limits.end()) {
            this->limits.emplace(
                name, Limit { rule, newVersion, life, QuotaBucket(shape, this->startOf(life, now), now) });
            continue;
        }
        auto& limit = found->second;
        limit.removedAt.reset();
        if (limit.rule == rule)
            continue;
        limit.rule = rule;
        limit.since = newVersion;
        limit.life = life;
        limit.bucket.setShape(shape, now);
    }
    for (auto& [name, limit] : this->limits) {
        if (!present.contains(name) && !limit.removedAt)
            limit.removedAt = now;
    }
    this->removeIdle(now);
}

void QuotaIssuer::removeIdle(Milliseconds now)
{
    this->lastRemoval = now;
    for (auto& [name, limit] : this->limits) {
        if (!limit.activity)
            continue;
        std::erase_if(limit.activity->demands, [now](auto const& entry) { return entry.second.at + demandLife < now; });
        if (limit.activity->unfilled == 0 && limit.activity->lastAsk + demandLife < now)
            limit.activity.reset();
    }
    // Until then tokens of a removed limit may be in use, so a limit of that name must not begin with a full bucket.
    auto const kept = this->options.bounds.window + this->options.longestLife;
    std::erase_if(this->limits,
        [&](auto const& entry) { return entry.second.removedAt && *entry.second.removedAt + kept < now; });
}

QuotaIssuer::Limit* QuotaIssuer::find(std::string const& name)
{
    auto const found = this->limits.find(name);
    return found == this->limits.end() ? nullptr : &found->second;
}

QuotaIssuer::Activity& QuotaIssuer::activate(Limit& limit, Milliseconds now)
{
    if (!limit.activity) {
        limit.activity = std::make_unique<Activity>();
        limit.activity->scarceUntil.resize(this->channels.size());
    }
    limit.activity->lastAsk = now;
    return *limit.activity;
}

double QuotaIssuer::demandOf(Limit const& limit, Milliseconds now) const
{
    double sum = 0;
    if (limit.activity) {
        for (auto const& [node, demand] : limit.activity->demands)
            sum += demand.at + demandLife >= now ? demand.perSecond : 0;
    }
    return sum;
}

static Milliseconds retryAfter(double tokens, double ratePerSecond)
{
    return std::min(Milliseconds { millisecondsPerSecond * tokens / ratePerSecond }, longestRetryAfter);
}

QuotaAnswer QuotaIssuer::answerIssuer(QuotaRequest const& request, Milliseconds now)
{
    QuotaAnswer answer { this->version, {} };
    for (auto const& ask : request.asks) {
        auto* const limit = this->find(ask.limit);
        auto& grant = answer.grants.emplace_back(QuotaGrant { ask.limit });
        if (!limit)
            continue;
        // Counted under another name than the requests of the relay's own callers.
        this->activate(*limit, now).demands["relay:" + request.node] = { ask.demand, now };
        auto const wanted = std::min<uint64_t>(uint64_t { ask.waiting } + ask.ahead, UINT32_MAX);
        grant.tokens = limit->bucket.take(static_cast<uint32_t>(wanted), now);
        grant.life = limit->life;
        grant.rate = limit->rule.ratePerSecond;
        grant.demand = this->demandOf(*limit, now);
        if (grant.tokens < wanted)
            grant.retryAfter = retryAfter(this->options.issuers, limit->rule.ratePerSecond);
    }
    return answer;
}

void QuotaIssuer::handle(QuotaRequest const& request, std::function<void(QuotaAnswer&&)> done)
{
    auto const now = this->hooks.now();
    if (now > this->lastRemoval + removalPeriod)
        this->removeIdle(now);
    if (request.fromRelay) {
        done(this->answerIssuer(request, now));
        return;
    }
    auto const held = std::make_shared<Held>(Held { request.node, {}, std::move(done) });
    bool isFilled = true;
    for (auto const& ask : request.asks) {
        auto& entry = held->asks.emplace_back(HeldAsk { ask });
        auto* const limit = this->find(ask.limit);
        if (!limit)
            continue;
        auto& activity = this->activate(*limit, now);
        activity.demands[request.node] = { ask.demand, now };
        entry.unfilled = ask.waiting;
        activity.unfilled += ask.waiting;
        this->fill(entry, now);
        isFilled = isFilled && entry.unfilled == 0;
    }
    if (isFilled) {
        this->answer(*held, now);
    } else {
        this->waiting.push_back(held);
        this->pump();
        if (!held->answered)
            this->hooks.schedule(longestHold, [this, weak = std::weak_ptr<Held>(held)] {
                if (auto const late = weak.lock(); late && !late->answered) {
                    this->answer(*late, this->hooks.now());
                    std::erase(this->waiting, late);
                }
            });
    }
    for (auto const& ask : request.asks)
        this->borrowAhead(ask.limit, now);
    for (size_t index = 0; index < this->channels.size(); ++index)
        this->flush(index);
}

void QuotaIssuer::issue(HeldAsk& held, Limit& limit, uint32_t wanted, Milliseconds now)
{
    auto const add = [&held](uint32_t tokens, Milliseconds expiresAt) {
        if (!held.issued.empty() && held.issued.back().expiresAt == expiresAt)
            held.issued.back().tokens += tokens;
        else if (tokens > 0)
            held.issued.push_back({ tokens, expiresAt });
    };
    auto& borrowed = limit.activity->borrowed;
    borrowed.expire(now + std::min(shortestUsefulLife, limit.life * shortestUsefulShare));
    while (wanted > 0 && borrowed.size() > 0) {
        add(1, *borrowed.take());
        --wanted;
    }
    add(limit.bucket.take(wanted, now), now + limit.life);
}

static uint32_t sumOf(auto const& issued)
{
    uint32_t sum = 0;
    for (auto const& entry : issued)
        sum += entry.tokens;
    return sum;
}

void QuotaIssuer::fill(HeldAsk& held, Milliseconds now)
{
    auto* const limit = this->find(held.ask.limit);
    if (held.unfilled == 0 || !limit || !limit->activity)
        return;
    auto const before = sumOf(held.issued);
    this->issue(held, *limit, held.unfilled, now);
    auto const added = sumOf(held.issued) - before;
    held.unfilled -= added;
    limit->activity->unfilled -= std::min(limit->activity->unfilled, added);
}

uint32_t QuotaIssuer::available(Limit& limit, Milliseconds now) const
{
    limit.activity->borrowed.expire(now + std::min(shortestUsefulLife, limit.life * shortestUsefulShare));
    return limit.activity->borrowed.size() + limit.bucket.available(now);
}

uint32_t QuotaIssuer::aheadOf(HeldAsk const& held, std::string const& node, Limit& limit, Milliseconds now)
{
    // Waiting requests come first.
    if (limit.activity->unfilled > 0)
        return 0;
    auto const demand = this->demandOf(limit, now);
    if (demand <= limit.rule.ratePerSecond)
        return held.ask.ahead;
    auto const own = limit.activity->demands[node].perSecond;
    auto const share = limit.rule.ratePerSecond * own / demand * reserveTime.value / millisecondsPerSecond;
    return std::min(held.ask.ahead, static_cast<uint32_t>(share));
}

void QuotaIssuer::answer(Held& held, Milliseconds now)
{
    held.answered = true;
    QuotaAnswer answer { this->version, {} };
    for (auto& entry : held.asks) {
        auto* const limit = this->find(entry.ask.limit);
        if (!limit || !limit->activity) {
            answer.grants.push_back(QuotaGrant { entry.ask.limit });
            continue;
        }
        limit->activity->unfilled -= std::min(limit->activity->unfilled, entry.unfilled);
        if (entry.unfilled == 0)
            this->issue(entry, *limit, this->aheadOf(entry, held.node, *limit, now), now);
        QuotaGrant grant { entry.ask.limit };
        grant.rate = limit->rule.ratePerSecond;
        grant.demand = this->demandOf(*limit, now);
        if (entry.unfilled > 0)
            grant.retryAfter = retryAfter(entry.unfilled, limit->rule.ratePerSecond);
        if (entry.issued.empty())
            answer.grants.push_back(grant);
        for (auto const& [tokens, expiresAt] : entry.issued) {
            grant.tokens = tokens;
            grant.life = std::max(expiresAt - now, Milliseconds {});
            answer.grants.push_back(grant);
        }
    }
    held.done(std::move(answer));
}

bool QuotaIssuer::canBorrowFrom(size_t channel, Limit const& limit, Milliseconds now) const
{
    return this->channels[channel].blockedUntil <= now && limit.activity->scarceUntil[channel] <= now;
}

uint32_t QuotaIssuer::lenders(Limit const& limit, Milliseconds now) const
{
    uint32_t count = 0;
    for (size_t index = 0; index < this->channels.size(); ++index)
        count += this->canBorrowFrom(index, limit, now) ? 1 : 0;
    return count;
}

bool QuotaIssuer::canBorrow(Limit const& limit, Milliseconds now) const { return this->lenders(limit, now) > 0; }

void QuotaIssuer::pump()
{
    auto const now = this->hooks.now();
    std::vector<std::shared_ptr<Held>> finished;
    for (auto const& held : this->waiting) {
        bool isUseful = false;
        for (auto& entry : held->asks) {
            this->fill(entry, now);
            auto const* const limit = entry.unfilled > 0 ? this->find(entry.ask.limit) : nullptr;
            if (!limit || !limit->activity || !this->canBorrow(*limit, now))
                continue;
            isUseful = true;
            this->borrow(entry.ask.limit, *limit, now);
        }
        if (!isUseful)
            finished.push_back(held);
    }
    std::erase_if(this->waiting,
        [&](auto const& held) { return std::find(finished.begin(), finished.end(), held) != finished.end(); });
    for (auto const& held : finished)
        this->answer(*held, now);
}

void QuotaIssuer::borrow(std::string const& name, Limit const& limit, Milliseconds now)
{
    for (size_t index = 0; index < this->channels.size(); ++index) {
        auto& pending = this->channels[index].pending;
        if (this->canBorrowFrom(index, limit, now) && std::find(pending.begin(), pending.end(), name) == pending.end())
            pending.push_back(name);
    }
}

uint32_t QuotaIssuer::reserveOf(Limit const& limit, Milliseconds now) const
{
    auto const rate = std::min(this->demandOf(limit, now), limit.rule.ratePerSecond);
    return static_cast<uint32_t>(rate * reserveTime.value / millisecondsPerSecond);
}

void QuotaIssuer::borrowAhead(std::string const& name, Milliseconds now)
{
    auto* const limit = this->find(name);
    if (!limit || !limit->activity || 2 * this->available(*limit, now) >= this->reserveOf(*limit, now))
        return;
    for (size_t index = 0; index < this->channels.size(); ++index) {
        auto& channel = this->channels[index];
        bool const isKnown = std::find(channel.pending.begin(), channel.pending.end(), name) != channel.pending.end();
        if (isKnown || channel.nextForecast > now || !this->canBorrowFrom(index, *limit, now))
            continue;
        channel.pending.push_back(name);
    }
}

void QuotaIssuer::flush(size_t index)
{
    auto& channel = this->channels[index];
    if (channel.outstanding || channel.pending.empty())
        return;
    auto const now = this->hooks.now();
    QuotaRequest request { this->version, this->options.node, true, {} };
    for (auto const& name : std::exchange(channel.pending, {})) {
        if (request.asks.size() >= maximumQuotaAsks)
            break;
        auto* const limit = this->find(name);
        if (!limit || !limit->activity || !this->canBorrowFrom(index, *limit, now))
            continue;
        auto const share
            = [lenders = this->lenders(*limit, now)](uint32_t tokens) { return (tokens + lenders - 1) / lenders; };
        auto const reserve = this->reserveOf(*limit, now);
        auto const available = this->available(*limit, now);
        double own = 0;
        for (auto const& [node, demand] : limit->activity->demands)
            own += demand.at + demandLife >= now && !node.starts_with("relay:") ? demand.perSecond : 0;
        QuotaAsk ask { name, share(limit->activity->unfilled), share(reserve > available ? reserve - available : 0),
            own };
        if (ask.waiting + ask.ahead > 0)
            request.asks.push_back(std::move(ask));
    }
    if (request.asks.empty())
        return;
    channel.outstanding = true;
    channel.sentAt = now;
    channel.nextForecast = now + forecastPeriod;
    channel.asked = request.asks;
    this->hooks.ask(
        channel.address, request, [this, index, asked = this->othersVersion](std::optional<QuotaAnswer>&& answer) {
            if (asked == this->othersVersion)
                this->onBorrowed(index, std::move(answer));
        });
}

void QuotaIssuer::onBorrowed(size_t index, std::optional<QuotaAnswer>&& answer)
{
    auto& channel = this->channels[index];
    auto const now = this->hooks.now();
    channel.outstanding = false;
    auto const asked = std::exchange(channel.asked, {});
    if (!answer) {
        channel.blockedUntil = now + unreachablePause;
        channel.pending.clear();
    } else {
        std::unordered_map<std::string_view, uint32_t> granted;
        for (auto const& grant : answer->grants) {
            auto* const limit = this->find(grant.limit);
            if (!limit || !limit->activity || answer->configuration < limit->since)
                continue;
            limit->activity->borrowed.add(
                grant.tokens, channel.sentAt + std::min(grant.life, this->options.longestLife));
            granted[grant.limit] += grant.tokens;
        }
        for (auto const& ask : asked) {
            auto* const limit = this->find(ask.limit);
            if (limit && limit->activity && granted[ask.limit] < ask.waiting + ask.ahead)
                limit->activity->scarceUntil[index] = now
                    + std::clamp(retryAfter(this->options.issuers, limit->rule.ratePerSecond), shortestScarcity,
                        longestScarcity);
        }
    }
    this->pump();
    for (size_t other = 0; other < this->channels.size(); ++other)
        this->flush(other);
}

} // namespace Toucan
