#include "Gateway/ObservationOutbox.h"

#include <utility>

namespace Toucan {

/// Time for which observations are collected; the answers of one query's shards usually arrive within it.
constexpr Milliseconds collectTime { 50 };

ObservationOutbox::ObservationOutbox(Hooks hooks)
    : hooks(std::move(hooks))
{
}

void ObservationOutbox::add(std::string const& target, double slowdown, Milliseconds age)
{
    if (!this->hooks.send)
        return;
    auto const now = this->hooks.now();
    if (this->pending.empty())
        this->hooks.schedule(now + collectTime, [this] { this->flush(); });
    this->pending[target] = { slowdown, now - age };
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
