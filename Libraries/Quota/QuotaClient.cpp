#include "Quota/QuotaClient.h"

#include "Base/Hash.h"

#include <algorithm>
#include <unordered_set>

namespace Toucan {

constexpr double millisecondsPerSecond = 1000;
/// Time for which a relay that did not answer, or does not know a limit, is not asked.
constexpr Milliseconds relayPause { 1000 };
/// Range of the time for which requests of an exhausted limit are refused without asking again.
constexpr Milliseconds shortestExhaustion { 10 };
constexpr Milliseconds longestExhaustion { 50 };
/// Time between asks in advance when the last one was not granted whole.
constexpr Milliseconds aheadPause { 20 };
/// Time of the own demand for which tokens are asked for in advance, and largest share of their life.
constexpr Milliseconds aheadTime { 250 };
constexpr double aheadLifeShare = 0.5;
/// Tokens are not given out in this last part of their life, because a request may wait for a connection; at most the
/// share of their whole life.
constexpr Milliseconds sendingTime { 20 };
constexpr double sendingLifeShare = 0.25;
/// Limits without requests for this time lose their state.
constexpr Milliseconds idleTime { 5000 };
constexpr Milliseconds removalPeriod { 1000 };
/// Relays forget the demand of a node after this time, so an older sum says nothing of the present one.
constexpr Milliseconds demandLife { 2000 };
/// Longest life that is accepted from a relay.
constexpr Milliseconds longestLife { 2500 };
/// Bytes of a message besides the names of limits, for each ask, and bytes of the asks of one message; below the limit
/// of a relay's listener.
constexpr size_t bytesPerAsk = 96;
constexpr size_t maximumMessageBytes = 100000;

QuotaClient::QuotaClient(Options options, Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
{
    this->addChannels();
}

void QuotaClient::addChannels()
{
    for (auto const& relay : this->options.relays)
        this->channels.push_back({ relay, false, {}, {}, false, {}, {} });
}

void QuotaClient::setRelays(std::vector<std::string> const& addresses)
{
    if (addresses.empty() || addresses == this->options.relays)
        return;
    this->options.relays = addresses;
    ++this->relaysVersion;
    this->channels.clear();
    this->addChannels();
    auto const now = this->hooks.now();
    Completions completions;
    for (auto& [name, limit] : this->limits) {
        this->orderRelays(limit);
        this->askNext(name, limit, now, completions);
    }
    for (size_t index = 0; index < this->channels.size(); ++index)
        this->flush(index);
    for (auto const& completion : completions)
        completion();
}

void QuotaClient::setRules(uint64_t newVersion, std::span<NamedQuota const> newRules)
{
    this->version = newVersion;
    std::unordered_set<std::string_view> present;
    for (auto const& [name, rule] : newRules) {
        present.insert(name);
        auto& entry = this->rules[name];
        if (entry.since == 0 || entry.rule != rule)
            entry = { rule, newVersion, entry.usage };
    }
    std::erase_if(this->rules, [&present](auto const& entry) { return !present.contains(entry.first); });
}

void QuotaClient::orderRelays(Limit& limit) const
{
    // Rendezvous hashing: the order of the relays is the same at all nodes.
    std::vector<std::pair<uint64_t, size_t>> scores;
    for (size_t index = 0; index < this->channels.size(); ++index)
        scores.emplace_back(hash64(limit.name, hash64(this->channels[index].address)), index);
    std::sort(scores.begin(), scores.end());
    limit.order.clear();
    for (auto const& [score, index] : scores)
        limit.order.push_back(index);
    limit.unusableUntil.assign(this->channels.size(), {});
}

QuotaClient::Limit& QuotaClient::activate(std::string const& name)
{
    auto const [found, isNew] = this->limits.try_emplace(name);
    auto& limit = found->second;
    if (isNew) {
        limit.name = name;
        this->orderRelays(limit);
    }
    auto const rule = this->rules.find(name);
    limit.life = rule == this->rules.end() ? longestLife : rule->second.rule.lifetime(this->options.bounds);
    return limit;
}

QuotaClient::Acquired QuotaClient::acquire(
    std::string const& name, Milliseconds patience, std::function<void(QuotaResult&&)> done)
{
    auto const now = this->hooks.now();
    if (now > this->lastRemoval + removalPeriod)
        this->removeIdle(now);
    auto& limit = this->activate(name);
    limit.demand.add(now);
    if (auto* const usage = this->usageOf(name))
        ++usage->requests;
    if (this->channels.empty())
        return { this->acquireOwn(name, now) };
    this->expire(limit, now);
    if (auto const expiresAt = limit.pool.take()) {
        auto result = this->resultOf(limit, QuotaResult::Kind::Granted, now);
        result.permit = this->createPermit(name, *expiresAt);
        auto const relay = this->chooseRelay(limit, now);
        if (relay && now >= std::max(limit.nextAhead, limit.exhaustedUntil) && this->aheadOf(limit, now) > 0) {
            this->enqueue(*relay, name);
            this->flush(*relay);
        }
        return { std::move(result) };
    }
    if (now < limit.exhaustedUntil)
        return { this->resultOf(limit, QuotaResult::Kind::Exhausted, now) };
    auto const relay = this->chooseRelay(limit, now);
    if (!relay)
        return { this->resultOf(limit, QuotaResult::Kind::Unreachable, now) };
    auto const number = ++this->lastWaiter;
    limit.waiters.push_back({ number, std::move(done),
        this->hooks.schedule(patience, [this, name, number] { this->onPatienceEnd(name, number); }) });
    this->enqueue(*relay, name);
    this->flush(*relay);
    this->probeSuspects(name, limit, now);
    return { std::nullopt, number };
}

QuotaResult QuotaClient::acquireOwn(std::string const& name, Milliseconds now)
{
    auto& limit = this->limits.at(name);
    limit.asked = 1;
    limit.answeredAt = now;
    QuotaGrant grant;
    QuotaRequest const request { this->version, this->options.node, false,
        { { name, 1, 0, limit.demand.perSecond(now) } } };
    this->hooks.ask({}, request, [&grant](std::optional<QuotaAnswer>&& answer) {
        if (answer && !answer->grants.empty())
            grant = answer->grants.front();
    });
    limit.retryAfter = grant.retryAfter;
    if (grant.tokens == 0)
        return this->resultOf(
            limit, grant.rate > 0 ? QuotaResult::Kind::Exhausted : QuotaResult::Kind::Unreachable, now);
    this->countTokens("quota_tokens_granted", limit, 1);
    auto result = this->resultOf(limit, QuotaResult::Kind::Granted, now);
    result.permit = this->createPermit(name, now + grant.life);
    return result;
}

void QuotaClient::cancel(std::string const& name, uint64_t number)
{
    auto const found = this->limits.find(name);
    if (found == this->limits.end())
        return;
    auto& waiters = found->second.waiters;
    auto const waiter
        = std::find_if(waiters.begin(), waiters.end(), [=](Waiter const& entry) { return entry.number == number; });
    if (waiter == waiters.end())
        return;
    waiter->cancelTimer();
    waiters.erase(waiter);
}

std::shared_ptr<QuotaPermit> QuotaClient::createPermit(std::string const& name, Milliseconds expiresAt)
{
    QuotaPermit::Hooks permitHooks;
    permitHooks.now = this->hooks.now;
    permitHooks.giveBack = [this, name](Milliseconds end) { this->giveBack(name, end); };
    return std::make_shared<QuotaPermit>(expiresAt, std::move(permitHooks));
}

void QuotaClient::giveBack(std::string const& name, Milliseconds expiresAt)
{
    auto const found = this->limits.find(name);
    // A node that issues its own tokens keeps no pool.
    if (found == this->limits.end() || this->channels.empty()) {
        this->count("quota_tokens_expired", 1);
        return;
    }
    found->second.pool.add(1, expiresAt);
    Completions completions;
    this->expire(found->second, this->hooks.now());
    this->serve(name, found->second, completions);
    for (auto const& completion : completions)
        completion();
}

QuotaUsage* QuotaClient::usageOf(std::string const& name)
{
    auto const found = this->rules.find(name);
    return found == this->rules.end() ? nullptr : &found->second.usage;
}

std::string QuotaClient::usageText() const
{
    std::vector<NamedQuotaUsage> usages;
    for (auto const& [name, entry] : this->rules)
        usages.push_back({ name, entry.rule.ratePerSecond, &entry.usage });
    return quotaUsageText(usages, this->hooks.now());
}

QuotaResult QuotaClient::resultOf(Limit const& limit, QuotaResult::Kind kind, Milliseconds now)
{
    if (auto* const usage = this->usageOf(limit.name)) {
        if (kind == QuotaResult::Kind::Granted)
            usage->admitted.add(now);
        else
            ++(kind == QuotaResult::Kind::Exhausted ? usage->exhausted : usage->unreachable);
    }
    QuotaResult result;
    result.kind = kind;
    result.retryAfter = limit.retryAfter;
    result.asked = limit.asked;
    if (limit.answeredAt)
        result.answerAge = now - *limit.answeredAt;
    return result;
}

std::optional<size_t> QuotaClient::chooseRelay(Limit const& limit, Milliseconds now) const
{
    std::optional<size_t> suspect;
    for (auto const index : limit.order) {
        auto const& channel = this->channels[index];
        if (channel.blockedUntil > now || limit.unusableUntil[index] > now)
            continue;
        if (!channel.isSuspect)
            return index;
        suspect = suspect.value_or(index);
    }
    return suspect;
}

uint32_t QuotaClient::aheadOf(Limit const& limit, Milliseconds now)
{
    auto const time = std::min(aheadTime, limit.life * aheadLifeShare);
    auto const wanted = static_cast<uint32_t>(limit.demand.perSecond(now) * time.value / millisecondsPerSecond);
    return 2 * limit.pool.size() < wanted ? wanted - limit.pool.size() : 0;
}

void QuotaClient::probeSuspects(std::string const& name, Limit const& limit, Milliseconds now)
{
    for (size_t index = 0; index < this->channels.size(); ++index) {
        auto& channel = this->channels[index];
        bool const isDue = channel.isSuspect && !channel.outstanding && channel.blockedUntil <= now;
        if (isDue)
            this->sendMessage(
                index, { this->version, this->options.node, false, { { name, 0, 0, limit.demand.perSecond(now) } } });
    }
}

void QuotaClient::enqueue(size_t index, std::string const& name)
{
    auto& pending = this->channels[index].pending;
    if (std::find(pending.begin(), pending.end(), name) == pending.end())
        pending.push_back(name);
}

void QuotaClient::flush(size_t index)
{
    auto& channel = this->channels[index];
    if (channel.outstanding || channel.pending.empty())
        return;
    auto const now = this->hooks.now();
    QuotaRequest request { this->version, this->options.node, false, {} };
    size_t bytes = 0;
    auto const pending = std::exchange(channel.pending, {});
    for (auto const& name : pending) {
        auto const found = this->limits.find(name);
        if (found == this->limits.end())
            continue;
        auto& limit = found->second;
        bytes += name.size() + bytesPerAsk;
        if (request.asks.size() >= maximumQuotaAsks || bytes > maximumMessageBytes) {
            channel.pending.push_back(name);
            continue;
        }
        QuotaAsk ask { name, static_cast<uint32_t>(limit.waiters.size()), this->aheadOf(limit, now),
            limit.demand.perSecond(now) };
        if (ask.waiting + ask.ahead == 0)
            continue;
        limit.asked = ask.waiting + ask.ahead;
        channel.asked.push_back(
            { name, ask.waiting, ask.ahead, limit.waiters.empty() ? 0 : limit.waiters.back().number });
        request.asks.push_back(std::move(ask));
        if (auto* const usage = this->usageOf(name))
            ++usage->asks;
    }
    if (request.asks.empty())
        return;
    this->sendMessage(index, request);
}

void QuotaClient::sendMessage(size_t index, QuotaRequest const& request)
{
    auto& channel = this->channels[index];
    channel.outstanding = true;
    channel.sentAt = this->hooks.now();
    this->count("quota_asks", 1);
    this->hooks.ask(
        channel.address, request, [this, index, asked = this->relaysVersion](std::optional<QuotaAnswer>&& answer) {
            // Tokens of a relay that has been replaced meanwhile are lost.
            if (asked == this->relaysVersion)
                this->onAnswer(index, std::move(answer));
        });
}

void QuotaClient::onAnswer(size_t index, std::optional<QuotaAnswer>&& answer)
{
    auto& channel = this->channels[index];
    auto const now = this->hooks.now();
    channel.outstanding = false;
    channel.isSuspect = !answer;
    auto const asked = std::exchange(channel.asked, {});
    Completions completions;
    if (answer) {
        for (auto const& entry : asked)
            this->apply(entry, index, *answer, completions);
    } else {
        this->count("quota_asks_unanswered", 1);
        channel.blockedUntil = now + relayPause;
        auto names = std::exchange(channel.pending, {});
        for (auto const& entry : asked)
            names.push_back(entry.limit);
        for (auto const& name : names) {
            if (auto const found = this->limits.find(name); found != this->limits.end())
                this->askNext(name, found->second, now, completions);
        }
    }
    for (size_t other = 0; other < this->channels.size(); ++other)
        this->flush(other);
    for (auto const& completion : completions)
        completion();
}

bool QuotaClient::mayUse(std::string const& name, uint64_t issuerVersion) const
{
    auto const found = this->rules.find(name);
    return found == this->rules.end() || issuerVersion >= found->second.since;
}

void QuotaClient::apply(Asked const& asked, size_t index, QuotaAnswer const& answer, Completions& completions)
{
    auto const found = this->limits.find(asked.limit);
    if (found == this->limits.end())
        return;
    auto& limit = found->second;
    auto const now = this->hooks.now();
    bool isKnown = false;
    uint32_t granted = 0;
    Milliseconds retryAfter;
    for (auto const& grant : answer.grants) {
        if (grant.limit != asked.limit || grant.rate <= 0 || !this->mayUse(asked.limit, answer.configuration))
            continue;
        isKnown = true;
        granted += grant.tokens;
        limit.fleetDemand = grant.demand;
        retryAfter = std::max(retryAfter, grant.retryAfter);
        limit.pool.add(grant.tokens, this->channels[index].sentAt + std::min(grant.life, longestLife));
    }
    if (!isKnown) {
        limit.unusableUntil[index] = now + relayPause;
        this->askNext(asked.limit, limit, now, completions);
        return;
    }
    limit.answeredAt = now;
    this->countTokens("quota_tokens_granted", limit, granted);
    this->expire(limit, now);
    this->serve(asked.limit, limit, completions);
    if (granted < asked.waiting + asked.ahead)
        limit.nextAhead = now + aheadPause;
    if (granted < asked.waiting) {
        limit.retryAfter = retryAfter;
        limit.exhaustedUntil = now + std::clamp(retryAfter, shortestExhaustion, longestExhaustion);
        this->refuse(limit, QuotaResult::Kind::Exhausted, now, completions);
    } else {
        this->askNext(asked.limit, limit, now, completions);
    }
}

std::optional<double> QuotaClient::fleetDemand(std::string const& name) const
{
    auto const found = this->limits.find(name);
    if (found == this->limits.end() || !found->second.answeredAt
        || this->hooks.now() - *found->second.answeredAt > demandLife)
        return std::nullopt;
    return found->second.fleetDemand;
}

void QuotaClient::askNext(std::string const& name, Limit& limit, Milliseconds now, Completions& completions)
{
    if (limit.waiters.empty())
        return;
    if (auto const relay = this->chooseRelay(limit, now))
        this->enqueue(*relay, name);
    else
        this->refuse(limit, QuotaResult::Kind::Unreachable, now, completions);
}

void QuotaClient::serve(std::string const& name, Limit& limit, Completions& completions)
{
    while (!limit.waiters.empty()) {
        auto const expiresAt = limit.pool.take();
        if (!expiresAt)
            return;
        auto result = this->resultOf(limit, QuotaResult::Kind::Granted, this->hooks.now());
        result.permit = this->createPermit(name, *expiresAt);
        QuotaClient::complete(std::move(limit.waiters.front()), std::move(result), completions);
        limit.waiters.erase(limit.waiters.begin());
    }
}

void QuotaClient::refuse(Limit& limit, QuotaResult::Kind kind, Milliseconds now, Completions& completions)
{
    for (auto& waiter : std::exchange(limit.waiters, {}))
        QuotaClient::complete(std::move(waiter), this->resultOf(limit, kind, now), completions);
}

void QuotaClient::complete(Waiter&& waiter, QuotaResult&& result, Completions& completions)
{
    waiter.cancelTimer();
    completions.push_back(
        [done = std::move(waiter.done), result = std::move(result)]() mutable { done(std::move(result)); });
}

void QuotaClient::onPatienceEnd(std::string const& name, uint64_t number)
{
    auto const found = this->limits.find(name);
    if (found == this->limits.end())
        return;
    auto& waiters = found->second.waiters;
    auto const waiter
        = std::find_if(waiters.begin(), waiters.end(), [=](Waiter const& entry) { return entry.number == number; });
    if (waiter == waiters.end())
        return;
    auto const done = std::move(waiter->done);
    waiters.erase(waiter);
    done(this->resultOf(found->second, QuotaResult::Kind::Unreachable, this->hooks.now()));
}

void QuotaClient::expire(Limit& limit, Milliseconds now)
{
    this->countTokens(
        "quota_tokens_expired", limit, limit.pool.expire(now + std::min(sendingTime, limit.life * sendingLifeShare)));
}

void QuotaClient::removeIdle(Milliseconds now)
{
    this->lastRemoval = now;
    for (auto entry = this->limits.begin(); entry != this->limits.end();) {
        auto& limit = entry->second;
        this->expire(limit, now);
        bool const isIdle = limit.waiters.empty() && limit.demand.lastEvent() + idleTime < now;
        if (isIdle)
            this->countTokens("quota_tokens_expired", limit, limit.pool.size());
        entry = isIdle ? this->limits.erase(entry) : std::next(entry);
    }
}

void QuotaClient::countTokens(std::string_view counter, Limit const& limit, uint64_t number)
{
    this->count(counter, number);
    if (auto* const usage = number > 0 ? this->usageOf(limit.name) : nullptr)
        (counter == "quota_tokens_granted" ? usage->granted : usage->expired) += number;
}

void QuotaClient::count(std::string_view counter, uint64_t number) const
{
    if (number > 0 && this->hooks.count)
        this->hooks.count(counter, number);
}

} // namespace Toucan
