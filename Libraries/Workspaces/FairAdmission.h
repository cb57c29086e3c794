#pragma once

#include "Base/Clock.h"
#include "Workspaces/WorkspaceRates.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Toucan {

/// Decides which requests are refused at once while the services that they need are congested. Load: all workspaces
/// together, or one that sends many times its usual rate, ask for more than the targets can run; without refusals the
/// queues grow until every answer is late, whoever caused it.
///
/// As in core-stateless fair queueing (Stoica, Shenker, Zhang 1998), a request is admitted with probability
/// min(1, fair share / rate of its workspace), so that every workspace keeps the same share of what it may send. The
/// fair share shrinks while the targets report queues and grows when they end. Lower priorities lose theirs first.
class FairAdmission {
public:
    struct Hooks {
        /// See WorkspaceRates; may be empty.
        WorkspaceRates::FleetRate fleetRate {};
        /// Numbers in [0, 1).
        std::function<double()> random {};
    };
    struct Request {
        /// Empty for requests without a workspace, which share one.
        std::string_view workspace;
        /// Requests per second that the workspace may send; 0 for no limit.
        double limit { 0 };
        /// 0 for the highest priority of the configuration, below `ranks`, the number of its priorities.
        size_t rank { 0 };
        size_t ranks { 1 };
        /// Services to which the request goes; not empty.
        std::span<std::string_view const> services;
    };
    struct Decision {
        bool isAdmitted { true };
        /// Probability with which the request was admitted.
        double probability { 1 };
        /// Rate of the workspace relative to what it may send; see WorkspaceRates.
        double rate { 0 };
        /// Waiting requests for each slot that decided.
        double queuePerSlot { 0 };
    };

    explicit FairAdmission(Hooks hooks);

    Decision admit(Request const& request, Milliseconds now);
    /// Records the waiting requests for each slot that a target of the service reported.
    void onReport(std::string const& service, double queuePerSlot, Milliseconds now);
    /// Records that a target of the service refused a request without running it.
    void onRejected(std::string const& service, Milliseconds now);

private:
    struct Queue {
        double average { 0 };
        Milliseconds at;
    };
    /// Requests that need the same services; named by the first of them.
    struct Group {
        /// Share of the priorities that is open, 1 without congestion.
        double level { 1 };
        /// Moving average of the share of requests that is admitted.
        double admittedShare { 1 };
        Milliseconds at;
    };
    template <typename Value> using ByName = std::map<std::string, Value, std::less<>>;

    double queueOf(std::string_view service, Milliseconds now) const;
    /// The queue that three quarters of the services do not exceed. Fewer long ones are left to PartAdmission, which
    /// omits the parts of single shards.
    double queueOf(std::span<std::string_view const> services, Milliseconds now) const;
    static void updateLevel(Group& group, double queue, Milliseconds now);
    bool isCongested(Milliseconds now) const;

    Hooks hooks;
    WorkspaceRates rates;
    ByName<Queue> queues;
    ByName<Group> groups;
    /// Last time at which a group was congested.
    Milliseconds congestedAt { -1e9 };
};

} // namespace Toucan
