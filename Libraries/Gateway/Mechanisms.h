#pragma once

#include <array>
#include <bitset>
#include <optional>
#include <string_view>
#include <utility>

namespace Toucan {

/// A mechanism that an experiment can switch off, to measure what it is worth.
enum class Mechanism {
    /// A second attempt while the first one may still answer.
    Hedging,
    /// Choice of targets by this node's running requests.
    LoadAwareChoice,
    /// Choice of targets by their slowdown, reported or observed.
    SlowdownAwareChoice,
    /// Sending reported slowdowns to the other nodes.
    SharedObservations,
    /// Preference for targets in the node's own failure domain.
    FailureDomainPreference,
    /// Choice of targets by the share of attempts that failed.
    FailureAwareChoice,
    /// No requests for a while to targets that can't be reached or accept no more connections.
    Blocking,
    /// Partial answers before the objective is missed.
    EarlyPartialAnswers,
    /// Omission of parts of overloaded shards.
    PartAdmission,
    /// The end of attempts that wait for a connection when their request has been answered.
    WaitingAttemptCancellation,
    /// Waiting for a reset before the first request on a new connection.
    NewConnectionGrace,
    /// Refusal of requests of workspaces beyond their fair share of congested services.
    FairAdmission,
};

/// Names as in the settings.
constexpr std::array<std::pair<std::string_view, Mechanism>, 12> mechanismNames { {
    { "hedging", Mechanism::Hedging },
    { "loadAwareChoice", Mechanism::LoadAwareChoice },
    { "slowdownAwareChoice", Mechanism::SlowdownAwareChoice },
    { "sharedObservations", Mechanism::SharedObservations },
    { "failureDomainPreference", Mechanism::FailureDomainPreference },
    { "failureAwareChoice", Mechanism::FailureAwareChoice },
    { "blocking", Mechanism::Blocking },
    { "earlyPartialAnswers", Mechanism::EarlyPartialAnswers },
    { "partAdmission", Mechanism::PartAdmission },
    { "waitingAttemptCancellation", Mechanism::WaitingAttemptCancellation },
    { "newConnectionGrace", Mechanism::NewConnectionGrace },
    { "fairAdmission", Mechanism::FairAdmission },
} };

/// Empty for an unknown name.
std::optional<Mechanism> parseMechanism(std::string_view name);

/// The mechanisms in use; all are enabled at first.
class Mechanisms {
public:
    void disable(Mechanism mechanism) { this->disabled.set(static_cast<size_t>(mechanism)); }
    bool operator==(Mechanisms const&) const = default;
    bool isEnabled(Mechanism mechanism) const { return !this->disabled.test(static_cast<size_t>(mechanism)); }

private:
    std::bitset<mechanismNames.size()> disabled;
};

} // namespace Toucan
