#pragma once

#include "Base/Clock.h"
#include "Quarantine/TerminationReport.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Toucan {

/// The requests under which targets ended, by fingerprint, from this node and from reports of others. Load: one fatal
/// request in 30 on a route with 15 or more shards, each repeated by its caller at other nodes.
class QuarantineList {
public:
    /// Time after its last target for which a fingerprint is kept.
    static constexpr Milliseconds entryTime { 120000 };
    /// Time after its last target for which a route is in canary mode.
    static constexpr Milliseconds canaryTime { 30000 };
    /// Weight of the unexplained targets, and targets in all, after which a request is refused. Of the requests at a
    /// target few are canaries, so one that ended under a canary of a route that is known to end targets weighs as two.
    static constexpr size_t refusedWeight = 2;
    static constexpr size_t refusedTotal = 3;

    enum class Admission {
        Free,
        /// The route is in canary mode: one shard first.
        RouteCanary,
        /// Targets ended under this request: one attempt at one target first.
        RequestCanary,
        Refused,
    };
    struct Decision {
        Admission admission { Admission::Free };
        /// Targets that ended under this request.
        size_t terminated { 0 };
        /// Time until the entry ends, when refused.
        Milliseconds left {};
    };
    struct DatedReport {
        TerminationReport report;
        Milliseconds at;
    };
    struct Hooks {
        /// A fingerprint is refused from now on.
        std::function<void(uint64_t fingerprint, size_t terminated)> quarantined;
    };

    explicit QuarantineList(Hooks hooks);

    /// Whether any decision can differ from Free; cheap enough for each request.
    bool isActive(Milliseconds now);
    /// Applies a report of this or another node; `at` is the time of its event. Repeated reports have no effect.
    /// Returns whether it is news.
    bool onReport(TerminationReport const& report, Milliseconds at, Milliseconds now);
    Decision decide(uint64_t fingerprint, uint32_t route, Milliseconds now);
    /// Whether the list has an entry with targets.
    bool contains(uint64_t fingerprint) const;
    /// What a node that starts needs to know: the newest reports, at most `limit`.
    std::vector<DatedReport> reports(size_t limit) const;

    size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        uint32_t route { 0 };
        std::vector<uint32_t> targets;
        Milliseconds last;
        Milliseconds clearedAt;
        bool endedCanary { false };
        bool isQuarantined { false };

        size_t weight() const { return this->targets.size() + (this->endedCanary ? 1 : 0); }
    };

    void expire(Milliseconds now);
    /// Weight of the targets that did not end under a fingerprint of greater weight as well.
    size_t unexplainedWeight(Entry const& entry) const;
    void weighTargets();
    void updateCanaryRoutes(Milliseconds now);
    bool isRefused(Entry const& entry) const;

    Hooks hooks;
    std::unordered_map<uint64_t, Entry> entries;
    /// By target, the largest weight of a fingerprint under which it ended.
    std::unordered_map<uint32_t, size_t> largestWeights;
    /// End of the canary mode, by route.
    std::unordered_map<uint32_t, Milliseconds> canaryRoutes;
    Milliseconds nextExpiry;
};

} // namespace Toucan
