#pragma once

#include "Gateway/GatewayTarget.h"
#include "Gateway/TargetObservation.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// The targets that are registered, by service.
class TargetDirectory {
public:
    using TargetPointer = std::shared_ptr<GatewayTarget>;
    /// Time in which live targets register again after the end of an outage of the registry or its restoration (2 s on
    /// the platform).
    static constexpr Milliseconds restorationGrace { 2200 };
    enum class Removal {
        /// The target has been removed from the registry.
        AtOnce,
        /// The entry may have expired in an outage of the registry; it is kept until `keepUntil`.
        Deferred,
    };
    struct Hooks {
        /// Called for the log: for each change of the directory, and for each outdated registration that is ignored.
        std::function<void(std::string_view event, TargetRegistration const&)> changed;
        /// Called when a target at the address has begun to drain or to leave, wants to wait, limits its load, moved
        /// away, was removed or is in a failure domain that is evacuated, so that requests that wait to be sent to it
        /// can be withdrawn. May be empty.
        std::function<void(std::string const& address)> withdrawn {};
        /// Random number in [0, 1) for the phases of limits. May be empty.
        std::function<double()> random {};
        /// Called when the evacuation of a failure domain begins or ends. May be empty.
        std::function<void(std::string const& failureDomain, bool evacuated, size_t targets)> evacuationChanged {};
    };

    /// What a target says of its rate limit in an answer to this node or another one.
    struct RateLimitStatement {
        /// 0 or more; noRateLimit in onSharedRateLimit() when the target states none any more.
        double requestsPerSecond { 0 };
        /// Random number in [0, 1); see TargetRateLimit.
        double phase { 0 };
        /// Time of the answer.
        Milliseconds at;
    };

    TargetDirectory(std::string failureDomain, Hooks hooks);

    /// A registration of another process of the target that may be one of an older copy, to which the registry was
    /// restored, replaces the known one only after restorationGrace, unless that one is registered again.
    void put(TargetRegistration registration, Milliseconds now);
    void remove(std::string const& id, Removal removal, Milliseconds keepUntil);
    /// Replaces the content by `registrations`; targets that they do not name are removed as in remove().
    void replaceAll(
        std::span<TargetRegistration const> registrations, Removal removal, Milliseconds keepUntil, Milliseconds now);
    /// Removes the deferred entries that are due, and ends the deferred evacuations. Returns when to call again; empty
    /// when no removal is deferred.
    std::optional<Milliseconds> expire(Milliseconds now);
    /// Makes the removals due at once that were deferred until `keepUntil`: no outage was the reason of them.
    void releaseDeferred(Milliseconds keepUntil, Milliseconds now);

    /// Nothing more may be sent to targets of the failure domain until endEvacuation().
    void evacuate(std::string const& evacuatedDomain);
    void endEvacuation(std::string const& evacuatedDomain);
    /// Replaces the evacuated failure domains after a complete read of the registry.
    void replaceEvacuations(std::set<std::string> const& wanted, Removal removal, Milliseconds keepUntil);
    size_t evacuations() const { return this->evacuatedDomains.size(); }

    /// Sets the requests per second that a cold target of each service accepts from all nodes together; services that
    /// are not named have no bound.
    void setColdRates(std::map<std::string, double> requestsPerSecond, Milliseconds now);

    /// Records that the target said that it leaves. It receives nothing from now on, also when its entry lapses and
    /// comes back, until a newer incarnation registers. Returns whether this is news.
    bool onLeaving(TargetPointer const& target);
    /// Records that the target wants no requests before `end`; see GatewayTarget::waitUntil().
    void onWait(TargetPointer const& target, Milliseconds end, Milliseconds returnAt);
    /// Records the rate limit that the target states; it lasts until onRateLimitEnded(), also when its entry lapses and
    /// comes back, or until a newer incarnation registers.
    void onRateLimit(TargetPointer const& target, RateLimitStatement const& statement);
    /// Records that the target no longer states a rate limit, as of the given time.
    void onRateLimitEnded(TargetPointer const& target, Milliseconds at);
    /// Applies what the target stated to another node, unless this node knows a later statement or has not known this
    /// incarnation for as long. Returns whether this is news.
    bool onSharedRateLimit(TargetPointer const& target, RateLimitStatement const& statement);
    /// Sets the number of nodes that share the rate limits of targets; 0 changes nothing.
    void setSharingNodes(uint32_t count, Milliseconds now);
    uint32_t sharingNodes() const { return this->nodes; }

    /// Valid until the next change of the directory.
    std::span<TargetPointer const> targets(std::string const& service) const;
    /// Null when the target is not registered.
    TargetPointer find(std::string const& id) const;
    /// Finds the target whose id has the given hashTargetId(). Null when no target or more than one has it.
    TargetPointer findByHash(uint32_t hash) const;
    size_t size() const { return this->targetsById.size(); }

private:
    /// What a target that is no longer registered said about further requests.
    struct RememberedNotice {
        uint64_t incarnation { 0 };
        bool leaving { false };
        Milliseconds waitEnd;
        std::optional<TargetRateLimit> rateLimit;
        /// Increases with each notice.
        uint64_t number { 0 };
    };

    void erase(std::string const& id);
    void rememberNotice(GatewayTarget const& target);
    void restoreNotice(GatewayTarget& target, Milliseconds now);
    /// The target's entry is present: neither it is removed nor another one takes its place.
    void keep(std::string const& id);
    void withdraw(std::string const& address) const;
    /// Applies the bound on requests to a cold target; called whenever the target, its service's rate or the number of
    /// nodes has changed.
    void limitWhileCold(TargetPointer const& target, Milliseconds now);
    /// Applies the beginning or the end of an evacuation to the targets of the failure domain.
    void setEvacuated(std::string const& evacuatedDomain, bool evacuated);

    std::string failureDomain;
    Hooks hooks;
    std::map<std::string, TargetPointer> targetsById;
    std::unordered_map<std::string, std::vector<TargetPointer>> targetsByService;
    std::unordered_multimap<uint32_t, TargetPointer> targetsByHash;
    /// Deferred removals: targets that are removed at the given time unless they register again.
    std::map<std::string, Milliseconds> deferred;
    /// Registrations that replace deferred ones when these are removed.
    std::map<std::string, TargetRegistration> successors;
    /// Evacuations that end at the given time unless their entry comes back.
    std::map<std::string, Milliseconds> deferredEvacuations;
    std::map<std::string, RememberedNotice> notices;
    uint64_t lastNotice { 0 };
    std::set<std::string> evacuatedDomains;
    /// By service.
    std::map<std::string, double> coldRates;
    /// Nodes that share the rate limits.
    uint32_t nodes { 1 };
};

} // namespace Toucan
