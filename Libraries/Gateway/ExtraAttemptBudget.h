#pragma once

#include "Base/Clock.h"

#include <array>
#include <functional>
#include <string>
#include <unordered_map>

namespace Toucan {

/// Bounds the attempts beyond the first of each request, per service, so that in every window all nodes together stay
/// within `ratio` of the requests plus the sum of the nodes' allowances. Each node rounds its budget randomly, so the
/// sum can exceed this slightly. Each node's budget depends on the requests that it received itself, so the bound on
/// the sum holds without coordination, and a restarted node loses its count of extra attempts together with the
/// requests that allowed them.
class ExtraAttemptBudget {
public:
    struct Limits {
        double ratio { 0.19 };
        /// This node's part of the allowance that the nodes share. A node that restarts within a window has lost its
        /// count of extra attempts, so the shared allowance must cover two lifetimes of every node; see
        /// ExtraAttemptAllowance.
        double allowance { 1 };
        Milliseconds window { 10000 };

        bool operator==(Limits const&) const = default;
    };
    enum class Use {
        /// Follows a failed attempt.
        Retry,
        /// Runs concurrently with an attempt that may still answer. Leaves a reserve for retries, because a denied
        /// retry loses the answer, while a denied hedge only delays it.
        Hedge,
        /// A hedge of one part of a scattered request. It may use all of a small budget, because a reserve would be a
        /// large share of it and a late part is missing from the answer just like a part whose retry was denied.
        PartHedge,
    };

    /// `random` returns numbers in [0, 1). Without it, the fractional part of a budget is never granted.
    explicit ExtraAttemptBudget(Limits limits, std::function<double()> random = {});

    /// Replaces Limits::allowance; what was spent stays counted.
    void setAllowance(double allowance) { this->limits.allowance = allowance; }
    /// Records a caller's request for the service.
    void onRequest(std::string const& service, Milliseconds now);
    /// Spent share of the service's budget, 0 to 1.
    double spentShare(std::string const& service, Milliseconds now);
    /// Reserves one extra attempt. Returns false when the budget for this use is spent.
    bool tryTake(std::string const& service, Use use, Milliseconds now);
    /// Returns an extra attempt that was reserved at `takenAt` and of which nothing was sent.
    void giveBack(std::string const& service, Milliseconds takenAt);

private:
    /// A window is counted in slices. One slice more than the window is counted, so that no extra attempt is dropped
    /// from the count while it lies in the window.
    static constexpr size_t slicesPerWindow = 20;
    struct Slice {
        int64_t number { -1 };
        double requests { 0 };
        double extras { 0 };
    };
    struct Account {
        std::array<Slice, slicesPerWindow + 2> slices;
        /// Random rounding of the fractional part of the budget, so that the nodes together spend the sum of their
        /// budgets although each has only a few attempts.
        double rounding { 0 };
    };

    int64_t sliceNumber(Milliseconds now) const;
    struct Balance {
        double budget { 0 };
        double extras { 0 };
    };

    /// Part of the budget that is available to this use.
    static double budgetFor(double budget, Use use);
    Balance balance(Account const& account, int64_t currentNumber) const;
    Account& accountOf(std::string const& service);
    Slice& currentSlice(Account& account, Milliseconds now) const;

    Limits limits;
    std::function<double()> random;
    std::unordered_map<std::string, Account> byService;
};

} // namespace Toucan
