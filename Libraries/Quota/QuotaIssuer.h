#pragma once

#include "Quota/QuotaBucket.h"
#include "Quota/QuotaMessages.h"
#include "Quota/QuotaPool.h"
#include "Quota/QuotaRule.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// Issues the tokens of limits from this issuer's buckets, and passes on tokens that it borrowed from other issuers.
/// Load: nodes of one workspace ask one relay, which has 1/R of the limit in its own buckets. Safe by construction:
/// every token was taken out of one bucket, and its life only shortens on the way. All times are of the clock that
/// includes suspension.
class QuotaIssuer {
public:
    struct Options {
        /// Name of this node, in its asks.
        std::string node;
        /// Addresses of the other issuers.
        std::vector<std::string> others {};
        /// Number of issuers among which rates and capacities are divided until setShare() is called.
        uint32_t issuers { 1 };
        QuotaBounds bounds {};
        /// Upper limit of the life of tokens.
        Milliseconds longestLife { 2500 };
        /// State of the buckets that are created soon after startedAt: full only if no earlier process can have issued
        /// tokens.
        QuotaBucket::Start start { QuotaBucket::Start::Restarted };
        Milliseconds startedAt {};
    };
    using AskDone = std::function<void(std::optional<QuotaAnswer>&&)>;
    struct Hooks {
        std::function<Milliseconds()> now;
        std::function<void(Milliseconds delay, std::function<void()> task)> schedule;
        /// Sends a request to another issuer. `done` is called once, not from within the call; empty without an answer.
        std::function<void(std::string const& issuer, QuotaRequest const&, AskDone done)> ask;
    };

    QuotaIssuer(Options options, Hooks hooks);
    QuotaIssuer(QuotaIssuer const&) = delete;
    QuotaIssuer& operator=(QuotaIssuer const&) = delete;

    /// Applies the limits of a configuration version.
    void setRules(uint64_t version, std::span<NamedQuota const> rules);
    /// Issues this part of each limit, between 0 and 1, from now on. Buckets lose what exceeds a smaller capacity.
    void setShare(double share);
    /// Begins to issue after another issuer: buckets of limits that are new in the next seconds begin empty.
    void succeed();
    /// Replaces the other issuers, from which tokens are borrowed.
    void setOthers(std::vector<std::string> const& addresses);
    /// Answers a request: at once, or after at most 10 ms when tokens for waiting requests are borrowed first. Answers
    /// only from the own bucket when the request is from another issuer.
    void handle(QuotaRequest const& request, std::function<void(QuotaAnswer&&)> done);

private:
    struct Demand {
        double perSecond { 0 };
        Milliseconds at;
    };
    /// State of a limit with recent asks.
    struct Activity {
        /// By node.
        std::map<std::string, Demand> demands;
        QuotaPool borrowed;
        /// For each other issuer: time before which it is not asked again, because it had too few tokens.
        std::vector<Milliseconds> scarceUntil;
        /// Waiting requests of held messages that have no token yet.
        uint32_t unfilled { 0 };
        Milliseconds lastAsk;
    };
    struct Limit {
        QuotaRule rule;
        /// Version in which the rule came into force here.
        uint64_t since { 0 };
        Milliseconds life;
        QuotaBucket bucket;
        std::optional<Milliseconds> removedAt {};
        std::unique_ptr<Activity> activity {};
    };
    /// Tokens of one grant that end at the same time.
    struct Issued {
        uint32_t tokens { 0 };
        Milliseconds expiresAt;
    };
    struct HeldAsk {
        QuotaAsk ask;
        uint32_t unfilled { 0 };
        std::vector<Issued> issued {};
    };
    /// A request that is being answered.
    struct Held {
        std::string node;
        std::vector<HeldAsk> asks;
        std::function<void(QuotaAnswer&&)> done;
        bool answered { false };
    };
    /// Exchange with another issuer: one message at a time.
    struct Channel {
        std::string address;
        bool outstanding { false };
        Milliseconds sentAt;
        Milliseconds blockedUntil;
        /// No tokens are borrowed in advance before this time.
        Milliseconds nextForecast;
        /// Limits for the next message.
        std::vector<std::string> pending;
        /// Asks of the outstanding message.
        std::vector<QuotaAsk> asked;
    };

    Limit* find(std::string const& name);
    Activity& activate(Limit& limit, Milliseconds now);
    QuotaBucket::Shape shapeOf(QuotaRule const& rule, Milliseconds life) const;
    QuotaBucket::Start startOf(Milliseconds life, Milliseconds now) const;
    QuotaAnswer answerIssuer(QuotaRequest const& request, Milliseconds now);
    /// Takes tokens for the waiting requests of an ask.
    void fill(HeldAsk& held, Milliseconds now);
    void issue(HeldAsk& held, Limit& limit, uint32_t wanted, Milliseconds now);
    /// Tokens in advance that the ask gets.
    uint32_t aheadOf(HeldAsk const& held, std::string const& node, Limit& limit, Milliseconds now);
    uint32_t available(Limit& limit, Milliseconds now) const;
    bool canBorrow(Limit const& limit, Milliseconds now) const;
    bool canBorrowFrom(size_t channel, Limit const& limit, Milliseconds now) const;
    uint32_t lenders(Limit const& limit, Milliseconds now) const;
    /// Answers the held messages for which waiting is of no use, and borrows for the others.
    void pump();
    void answer(Held& held, Milliseconds now);
    void borrow(std::string const& name, Limit const& limit, Milliseconds now);
    void borrowAhead(std::string const& name, Milliseconds now);
    /// Tokens that should be at hand for the demand of the next moments.
    uint32_t reserveOf(Limit const& limit, Milliseconds now) const;
    void flush(size_t channel);
    void onBorrowed(size_t channel, std::optional<QuotaAnswer>&& answer);
    void addChannels();
    double demandOf(Limit const& limit, Milliseconds now) const;
    void removeIdle(Milliseconds now);

    Options options;
    Hooks hooks;
    /// Part of each limit that this issuer issues.
    double share;
    uint64_t version { 0 };
    /// Number of the list of other issuers; answers of earlier ones are dropped.
    uint64_t othersVersion { 0 };
    std::unordered_map<std::string, Limit> limits;
    std::deque<std::shared_ptr<Held>> waiting;
    std::vector<Channel> channels;
    Milliseconds lastRemoval;
};

} // namespace Toucan
