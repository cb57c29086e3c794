#pragma once

#include "Base/Clock.h"

#include <string>
#include <unordered_map>

namespace Toucan {

/// Bounds the attempts beyond the first of each request, per service, so that all nodes together stay within
/// `ratio` of the requests plus an allowance in every window. Each node spends only a share of the requests that it
/// took itself, so the sum over nodes holds whatever a node believes of the others. What may be saved up is small:
/// it is spent again by no node after a restart, because a node starts without savings.
class ExtraAttemptBudget {
public:
    struct Limits {
        /// Share of the node's own requests that may be sent once more.
        double ratio { 0.18 };
        /// Most attempts that can be saved up; the sum over all nodes must stay below the shared allowance.
        double savings { 3 };
    };

    explicit ExtraAttemptBudget(Limits limits);

    /// A caller's request for the service was taken.
    void onRequest(std::string const& service);
    /// Takes one extra attempt. Returns false when the budget is spent.
    bool tryTake(std::string const& service);

private:
    Limits limits;
    std::unordered_map<std::string, double> savedByService;
};

} // namespace Toucan
