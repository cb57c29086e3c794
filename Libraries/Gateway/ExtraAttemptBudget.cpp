#include "Gateway/ExtraAttemptBudget.h"

#include <algorithm>
#include <cmath>

namespace Toucan {

/// Share of the budget that hedges may use; the rest is reserved for retries. A budget of at most unreservedBudget
/// attempts has no reserve.
constexpr double hedgeShare = 0.75;
constexpr double unreservedBudget = 2;
/// Budget up to which hedges of parts may use all of it, in attempts: a node of a large deployment has only a few extra
/// attempts per shard and window.
constexpr double unreservedPartBudget = 8;

ExtraAttemptBudget::ExtraAttemptBudget(Limits limits, std::function<double()> random)
    : limits(limits)
    , random(std::move(random))
{
}

int64_t ExtraAttemptBudget::sliceNumber(Milliseconds now) const
{
    return static_cast<int64_t>(std::floor(now.value * slicesPerWindow / this->limits.window.value));
}

ExtraAttemptBudget::Account& ExtraAttemptBudget::accountOf(std::string const& service)
{
    auto const [found, added] = this->byService.try_emplace(service);
    if (added && this->random)
        found->second.rounding = this->random();
    return found->second;
}

ExtraAttemptBudget::Slice& ExtraAttemptBudget::currentSlice(Account& account, Milliseconds now) const
{
    auto const number = this->sliceNumber(now);
    auto& slice = account.slices[static_cast<size_t>(number) % account.slices.size()];
    if (slice.number != number)
        slice = { number, 0, 0 };
    return slice;
}

void ExtraAttemptBudget::onRequest(std::string const& service, Milliseconds now)
{
    this->currentSlice(this->accountOf(service), now).requests += 1;
}

ExtraAttemptBudget::Balance ExtraAttemptBudget::balance(Account const& account, int64_t currentNumber) const
{
    double requests = 0;
    double extras = 0;
    for (auto const& slice : account.slices) {
        auto const age = currentNumber - slice.number;
        // The oldest slice lies partly outside the window: its extra attempts count, its requests do not.
        if (slice.number >= 0 && age < static_cast<int64_t>(slicesPerWindow))
            requests += slice.requests;
        if (slice.number >= 0 && age <= static_cast<int64_t>(slicesPerWindow))
            extras += slice.extras;
    }
    return { this->limits.ratio * requests + this->limits.allowance + account.rounding, extras };
}

double ExtraAttemptBudget::spentShare(std::string const& service, Milliseconds now)
{
    auto const [budget, extras] = this->balance(this->accountOf(service), this->sliceNumber(now));
    return budget > 0 ? std::min(extras / budget, 1.0) : 1;
}

double ExtraAttemptBudget::budgetFor(double budget, Use use)
{
    if (use == Use::Retry)
        return budget;
    auto const unreserved = use == Use::PartHedge ? unreservedPartBudget : unreservedBudget;
    return std::max(std::min(budget, unreserved), budget * hedgeShare);
}

bool ExtraAttemptBudget::tryTake(std::string const& service, Use use, Milliseconds now)
{
    auto& account = this->accountOf(service);
    auto const [budget, extras] = this->balance(account, this->sliceNumber(now));
    if (extras + 1 > budgetFor(budget, use))
        return false;
    this->currentSlice(account, now).extras += 1;
    return true;
}

void ExtraAttemptBudget::giveBack(std::string const& service, Milliseconds takenAt)
{
    auto const number = this->sliceNumber(takenAt);
    auto& account = this->accountOf(service);
    auto& slice = account.slices[static_cast<size_t>(number) % account.slices.size()];
    // A slice that was replaced since is outside the window.
    if (slice.number == number && slice.extras > 0)
        slice.extras -= 1;
}

} // namespace Toucan
