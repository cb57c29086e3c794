#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Toucan {

/// What one connect to the address of a target showed.
enum class ProbeResult {
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// The connection was established.
    Accepted,
    /// No answer in time, or the network reported an error.
    NoAnswer,
};

enum class TerminationVerdict {
    /// No sufficient evidence.
    Undecided,
    /// The connection broke, but the process goes on.
    Alive,
    /// The target was about to stop, whatever it ran.
    PlannedStop,
    /// The process ended, and so did others at the same moment that ran no attempt of this node: the cause is not what
    /// it
    /// ran.
    TerminatedWithOthers,
    /// The process ended while it ran the attempt.
    Terminated,
};

std::string_view toString(TerminationVerdict verdict);

/// Decides whether a target's process ended while it ran an attempt whose connection broke. The failure of an attempt
/// alone is never sufficient; docs/design/fatal-requests.md lists the evidence.
class TerminationVerdicts {
public:
    /// Time within which connections break when a process ends.
    static constexpr Milliseconds momentTime { 20 };
    /// Time by which a request gets the first verdict.
    static constexpr Milliseconds holdTime { 20 };
    /// Time after the break within which connections of other targets show that they ended as well.
    static constexpr Milliseconds settleTime { 2 };
    /// Time for which a probe may run.
    static constexpr Milliseconds probeTime { 100 };
    /// Time within which later evidence from the registry counts.
    static constexpr Milliseconds lateEvidenceTime { 3000 };

    struct Hooks {
        std::function<Milliseconds()> now;
        std::function<void(Milliseconds at, std::function<void()>)> schedule;
        /// Opens one connection to the address and closes it; `done` is called once, within probeTime, never from
        /// within the call. Without this hook there are no verdicts.
        std::function<void(std::string const& address, std::function<void(ProbeResult)> done)> probe;
    };
    struct BrokenAttempt {
        std::string targetId;
        std::string address;
        uint64_t incarnation { 0 };
        /// Whether the target was known to drain, leave, have moved or have been removed.
        bool stopIsPlanned { false };
    };
    /// Called once within holdTime, possibly from within onBroken(), and a second time with Terminated when evidence
    /// for it follows after Undecided.
    using Decided = std::function<void(TerminationVerdict)>;

    explicit TerminationVerdicts(Hooks hooks);

    /// The connection of an attempt ended after its request was sent.
    void onBroken(BrokenAttempt attempt, Decided decided);
    /// A connection to the address ended that this node did not close, with or without a running request.
    void onConnectionLost(std::string const& address);
    /// A registration of the target was read.
    void onRegistered(std::string const& targetId, uint64_t incarnation);
    void onLapsed(std::string const& targetId);
    void onPlannedStop(std::string const& targetId);
    /// Whether events of registrations matter at present.
    bool isWaiting() const { return !this->suspects.empty(); }

private:
    struct Suspect {
        BrokenAttempt attempt;
        Milliseconds brokenAt;
        Decided decided;
        std::optional<ProbeResult> probed;
        bool isReplaced { false };
        bool hasLapsed { false };
        /// Whether another connection to the address broke at the same moment.
        bool brokeWithOthers { false };
        bool isReported { false };
        bool isDone { false };
    };
    using SuspectPointer = std::shared_ptr<Suspect>;
    struct LostConnections {
        Milliseconds at;
        uint32_t count { 0 };
    };

    void startProbe(std::string const& address);
    void onProbed(std::string const& address, Milliseconds startedAt, ProbeResult result);
    std::optional<TerminationVerdict> finalVerdict(Suspect const& suspect) const;
    /// Whether other targets lost their connections at the same moment although no attempt ran there.
    bool othersEnded(Suspect const& suspect) const;
    void evaluate(SuspectPointer const& suspect);
    void evaluateTarget(std::string const& targetId, std::function<void(Suspect&)> const& change);
    static void report(Suspect& suspect, TerminationVerdict verdict);
    void purge();

    Hooks hooks;
    std::list<SuspectPointer> suspects;
    /// Addresses with a running probe.
    std::map<std::string, Milliseconds> probes;
    std::map<std::string, LostConnections> lostConnections;
    /// Addresses at which attempts broke, and when.
    std::map<std::string, Milliseconds> brokenAddresses;
};

} // namespace Toucan
