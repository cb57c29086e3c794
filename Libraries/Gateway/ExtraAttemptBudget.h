#pragma once

#include "Base/Clock.h"

#include <array>
#include <functional>
#include <string>
#include <unordered_map>

namespace Toucan {

/// Bounds the attempts beyond the first of each request, per service, so that in every window all nodes together stay
/// within `ratio` of the requests plus `allowance`. A node spends a share of the requests that it took itself, so the
/// sum over the nodes holds whatever a node believes of the others, and a node that restarts forgets its spending
/// together with the requests that paid for it.
class ExtraAttemptBudget {
public:
    struct Limits {
        double ratio { 0.19 };
        /// This node's part of the allowance that the nodes share. A node that restarts within a window has forgotten
        /// what it spent, so the parts for both lifetimes of all nodes must fit into the shared allowance.
        double allowance { 1 };
        Milliseconds window { 10000 };
    };
    enum class Use {
        /// Replaces a failed attempt.
        Retry,
        /// Runs beside an attempt that may still answer. Leaves a reserve for retries, because a missing retry costs
        /// an answer and a missing hedge only time.
        Hedge,
        /// A hedge of one of many parts. It may use the whole of a small budget, of which a reserve would be a large
        /// part: a part that comes late is missing as much as one whose retry was denied.
        PartHedge,
    };

    /// `random` gives numbers in [0, 1). Without it, fractions of an attempt are never granted.
    explicit ExtraAttemptBudget(Limits limits, std::function<double()> random = {});

    /// A caller's request for the service was taken.
    void onRequest(std::string const& service, Milliseconds now);
    /// Share of the service's budget that is spent, 0 to 1.
    double spentShare(std::string const& service, Milliseconds now);
    /// Takes one extra attempt. Returns false when the budget is spent.
    bool tryTake(std::string const& service, Use use, Milliseconds now);

private:
    /// A window is counted in slices; one more than the window holds, so that no spending leaves the count too early.
    static constexpr size_t slicesPerWindow = 20;
    struct Slice {
        int64_t number { -1 };
        double requests { 0 };
        double extras { 0 };
    };
    struct Account {
        std::array<Slice, slicesPerWindow + 2> slices;
        /// Decides whether this node grants the fraction of an attempt that its budget ends with, so that the nodes
        /// together spend the sum of their budgets although each has only a few attempts.
        double rounding { 0 };
    };

    int64_t sliceNumber(Milliseconds now) const;
    struct Balance {
        double budget { 0 };
        double extras { 0 };
    };

    /// Part of the budget that extra attempts of this use may fill.
    static double usable(double budget, Use use);
    Balance balance(Account const& account, int64_t currentNumber) const;
    Account& accountOf(std::string const& service);
    Slice& currentSlice(Account& account, Milliseconds now) const;

    Limits limits;
    std::function<double()> random;
    std::unordered_map<std::string, Account> byService;
};

} // namespace Toucan
