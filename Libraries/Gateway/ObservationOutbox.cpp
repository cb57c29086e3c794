#include "Gateway/ObservationOutbox.h"

#include <utility>

namespace Toucan {

/// Answers of the shards of one query come within this time.
constexpr Milliseconds collectTime { 50 };
/// About fifty attempts, which are one or two queries, show whether the node itself is the cause of failures.
constexpr double attemptWeight = 0.02;
constexpr double mostFailures = 0.5;

ObservationOutbox::ObservationOutbox(Hooks hooks)
    : hooks(std::move(hooks))
{
}

void ObservationOutbox::onAttempt(bool failed)
{
    this->failureShare += attemptWeight * ((failed ? 1.0 : 0.0) - this->failureShare);
}

void ObservationOutbox::addFailure(std::string const& target)
{
    if (this->failureShare <= mostFailures)
        this->add(target, std::nullopt);
}

void ObservationOutbox::add(std::string const& target, std::optional<double> slowdown)
{
    if (!this->hooks.send)
        return;
    auto const now = this->hooks.now();
    if (this->pending.empty())
        this->hooks.schedule(now + collectTime, [this] { this->flush(); });
    this->pending[target] = { slowdown, now };
}

void ObservationOutbox::flush()
{
    auto const now = this->hooks.now();
    std::vector<TargetObservation> observations;
    for (auto const& [target, entry] : std::exchange(this->pending, {}))
        observations.push_back({ target, entry.slowdown, now - entry.at });
    this->hooks.send(std::move(observations));
}

} // namespace Toucan
