#pragma once

#include "Quota/QuotaMessages.h"
#include "Quota/QuotaPermit.h"
#include "Quota/QuotaPool.h"
#include "Quota/QuotaRule.h"
#include "Quota/QuotaUsage.h"
#include "Quota/RateEstimate.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// How a request for a token ended.
struct QuotaResult {
    enum class Kind {
        Granted,
        /// A relay answered that the limit is exhausted.
        Exhausted,
        /// No relay answered in time, or none knows the limit.
        Unreachable,
    };
    Kind kind { Kind::Unreachable };
    /// Set when granted.
    std::shared_ptr<QuotaPermit> permit {};
    /// Time until tokens can be expected, when exhausted.
    Milliseconds retryAfter {};
    /// Tokens for waiting requests that the last message asked for.
    uint32_t asked { 0 };
    /// Age of the last answer of a relay; empty without one.
    std::optional<Milliseconds> answerAge {};
};

/// Gives requests tokens of limits that relays issue, or that this node issues itself where there are no relays. Load:
/// a few nodes serve all requests of a workspace and must use its whole limit, while its other nodes hold nothing. All
/// times are of the clock that includes suspension.
class QuotaClient {
public:
    using AskDone = std::function<void(std::optional<QuotaAnswer>&&)>;
    struct Hooks {
        std::function<Milliseconds()> now;
        /// Returns what cancels the task.
        std::function<std::function<void()>(Milliseconds delay, std::function<void()> task)> schedule;
        /// Sends a request to a relay. `done` is called once, not from within the call; empty when the relay gives no
        /// usable answer in time. Without relays, the address is empty and `done` must be called within the call.
        std::function<void(std::string const& relay, QuotaRequest const&, AskDone done)> ask;
        /// Adds to a counter: quota_asks, quota_tokens_granted, quota_tokens_expired. May be empty.
        std::function<void(std::string_view counter, uint64_t number)> count;
    };
    struct Options {
        std::string node;
        /// Addresses; empty when this node issues its own tokens.
        std::vector<std::string> relays {};
        QuotaBounds bounds {};
    };

    QuotaClient(Options options, Hooks hooks);
    QuotaClient(QuotaClient const&) = delete;
    QuotaClient& operator=(QuotaClient const&) = delete;

    /// Applies the limits of a configuration version.
    void setRules(uint64_t version, std::span<NamedQuota const> rules);

    /// Replaces the relays. Waiting requests ask the new ones; tokens at hand stay valid.
    void setRelays(std::vector<std::string> const& addresses);

    struct Acquired {
        /// Set when the result is known at once.
        std::optional<QuotaResult> result;
        /// Otherwise identifies the waiting request.
        uint64_t waiter { 0 };
    };
    /// Takes a token for one request. Without a token at hand, the request waits for at most `patience`, and `done` is
    /// called once, unless cancel() is called.
    Acquired acquire(std::string const& limit, Milliseconds patience, std::function<void(QuotaResult&&)> done);
    void cancel(std::string const& limit, uint64_t waiter);

    /// Requests per second of all nodes for a limit, including refused ones, by a relay's last answer; empty when there
    /// is no recent one.
    std::optional<double> fleetDemand(std::string const& limit) const;
    /// Metrics of the limits, quotaUsageText().
    std::string usageText() const;
    /// Limits with state; those without recent requests have none.
    size_t activeLimits() const { return this->limits.size(); }

private:
    struct Rule {
        QuotaRule rule;
        /// Version in which the rule came into force here.
        uint64_t since { 0 };
        QuotaUsage usage {};
    };
    struct Waiter {
        uint64_t number { 0 };
        std::function<void(QuotaResult&&)> done;
        std::function<void()> cancelTimer;
    };
    /// A limit with recent requests.
    struct Limit {
        std::string name;
        QuotaPool pool;
        RateEstimate demand;
        /// Life of new tokens.
        Milliseconds life;
        std::vector<Waiter> waiters;
        /// Relays in the order in which they are asked.
        std::vector<size_t> order;
        /// For each relay, the time before which it is not asked, because it does not know the limit.
        std::vector<Milliseconds> unusableUntil;
        Milliseconds exhaustedUntil;
        Milliseconds retryAfter;
        /// Nothing is asked in advance before this time, because the last answer had too few tokens.
        Milliseconds nextAhead;
        std::optional<Milliseconds> answeredAt;
        /// Demand of all nodes by the last answer, in requests per second.
        double fleetDemand { 0 };
        uint32_t asked { 0 };
    };
    struct Asked {
        std::string limit;
        uint32_t waiting { 0 };
        uint32_t ahead { 0 };
        /// Last waiting request for which the message asks.
        uint64_t lastWaiter { 0 };
    };
    /// Exchange with one relay: one message at a time.
    struct Channel {
        std::string address;
        bool outstanding { false };
        Milliseconds sentAt;
        Milliseconds blockedUntil;
        /// Whether the last message was not answered. Requests wait for such a relay only when there is no other.
        bool isSuspect { false };
        /// Limits for the next message.
        std::vector<std::string> pending;
        std::vector<Asked> asked;
    };
    using Completions = std::vector<std::function<void()>>;

    void addChannels();
    /// Sets the order in which the relays are asked for the limit.
    void orderRelays(Limit& limit) const;
    Limit& activate(std::string const& name);
    QuotaResult acquireOwn(std::string const& name, Milliseconds now);
    std::shared_ptr<QuotaPermit> createPermit(std::string const& name, Milliseconds expiresAt);
    void giveBack(std::string const& name, Milliseconds expiresAt);
    /// Also counts the result.
    QuotaResult resultOf(Limit const& limit, QuotaResult::Kind kind, Milliseconds now);
    /// Relay to be asked; empty when none can be.
    std::optional<size_t> chooseRelay(Limit const& limit, Milliseconds now) const;
    /// Tokens to ask for in advance.
    static uint32_t aheadOf(Limit const& limit, Milliseconds now);
    /// Sends a message without asks for tokens to each relay that did not answer, and is due to be tried again.
    void probeSuspects(std::string const& name, Limit const& limit, Milliseconds now);
    void sendMessage(size_t channel, QuotaRequest const& request);
    void enqueue(size_t channel, std::string const& name);
    /// Asks the next relay, or fails the waiting requests when there is none.
    void askNext(std::string const& name, Limit& limit, Milliseconds now, Completions& completions);
    void flush(size_t channel);
    void onAnswer(size_t channel, std::optional<QuotaAnswer>&& answer);
    void apply(Asked const& asked, size_t channel, QuotaAnswer const& answer, Completions& completions);
    bool mayUse(std::string const& name, uint64_t version) const;
    void serve(std::string const& name, Limit& limit, Completions& completions);
    void refuse(Limit& limit, QuotaResult::Kind kind, Milliseconds now, Completions& completions);
    static void complete(Waiter&& waiter, QuotaResult&& result, Completions& completions);
    void onPatienceEnd(std::string const& name, uint64_t number);
    /// Usage of a limit; null when the configuration in force does not have it.
    QuotaUsage* usageOf(std::string const& name);
    void countTokens(std::string_view counter, Limit const& limit, uint64_t number);
    void expire(Limit& limit, Milliseconds now);
    void removeIdle(Milliseconds now);
    void count(std::string_view counter, uint64_t number) const;

    Options options;
    Hooks hooks;
    uint64_t version { 0 };
    std::unordered_map<std::string, Rule> rules;
    std::unordered_map<std::string, Limit> limits;
    std::vector<Channel> channels;
    /// Number of the list of relays; answers of earlier ones are dropped.
    uint64_t relaysVersion { 0 };
    uint64_t lastWaiter { 0 };
    Milliseconds lastRemoval;
};

} // namespace Toucan
