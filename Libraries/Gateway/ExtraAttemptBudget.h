#pragma once

#include "Base/Clock.h"

#include <array>
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
    };

    explicit ExtraAttemptBudget(Limits limits);

    /// A caller's request for the service was taken.
    void onRequest(std::string const& service, Milliseconds now);
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
    using Slices = std::array<Slice, slicesPerWindow + 2>;

    int64_t sliceNumber(Milliseconds now) const;
    Slice& currentSlice(std::string const& service, Milliseconds now);

    Limits limits;
    std::unordered_map<std::string, Slices> byService;
};

} // namespace Toucan
