#include "Gateway/ObservationOutbox.h"

#include <utility>

namespace Toucan {

/// Time for which observations are collected; the answers of one query's shards usually arrive within it.
constexpr Milliseconds collectTime { 50 };
/// The targets of a fatal request end within a few milliseconds, and its caller soon asks another node.
constexpr Milliseconds terminationCollectTime { 2 };

ObservationOutbox::ObservationOutbox(Hooks hooks)
    : hooks(std::move(hooks))
{
}

void ObservationOutbox::add(TargetObservation const& observation)
{
    if (!this->hooks.send)
        return;
    auto const now = this->hooks.now();
    auto const flushAt = now + (observation.termination ? terminationCollectTime : collectTime);
    if (this->pending.empty() || flushAt < this->flushAt) {
        this->flushAt = flushAt;
        this->hooks.schedule(flushAt, [this] { this->flush(); });
    }
    auto& entry = this->pending[{ observation.target, observation.isAboutRateLimit() }];
    if (!entry.observation.leaving || observation.leaving)
        entry = { observation, now - observation.age };
}

void ObservationOutbox::flush()
{
    // An earlier flush may have sent everything.
    if (this->pending.empty())
        return;
    auto const now = this->hooks.now();
    std::vector<TargetObservation> observations;
    for (auto const& [subject, entry] : std::exchange(this->pending, {})) {
        observations.push_back(entry.observation);
        observations.back().age = now - entry.at;
    }
    this->hooks.send(std::move(observations));
}

} // namespace Toucan
