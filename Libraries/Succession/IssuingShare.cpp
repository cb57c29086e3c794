#include "Succession/IssuingShare.h"

#include "Base/Hash.h"

#include <algorithm>
#include <utility>

namespace Toucan {

/// A node asks a relay at least each second, and during an outage of the registry each relay every few seconds.
constexpr Milliseconds heardTime { 6000 };
/// Nodes that a relay has heard within this time are reported to the others, which forget them heardTime after that at
/// the latest.
constexpr Milliseconds reportedHeardTime { 2000 };
/// A relay that the registry has not confirmed for longer may be replaced by nodes that reach the registry.
constexpr Milliseconds longestUnconfirmed { 10000 };

IssuingShare::IssuingShare(Options options)
    : options(std::move(options))
{
}

void IssuingShare::onRoster(RelayRoster const& next, Milliseconds now)
{
    // Another node may have held the slots in a roster that this one has not seen.
    bool const isNext = this->roster && next.term <= this->roster->term + 1;
    auto const before = isNext ? std::exchange(this->takenAt, {}) : decltype(this->takenAt) {};
    this->takenAt.clear();
    for (auto const slot : next.taken) {
        if (next.slots[slot] != this->options.own)
            continue;
        auto const known = before.find(slot);
        this->takenAt[slot] = known == before.end() ? now : known->second;
    }
    this->roster = next;
}

std::optional<Milliseconds> IssuingShare::confirmedAge(Milliseconds now) const
{
    return this->confirmedAt ? std::optional(now - *this->confirmedAt) : std::nullopt;
}

bool IssuingShare::isCertain(Milliseconds now) const
{
    return this->confirmedAt && now - *this->confirmedAt <= certainTime;
}

bool IssuingShare::answerProbe(Asker asker, Milliseconds now)
{
    bool const isReplaceable
        = asker == Asker::Connected && now - this->confirmedAt.value_or(this->options.startedAt) > longestUnconfirmed;
    if (isReplaceable)
        this->resignedAt = now;
    return !isReplaceable;
}

void IssuingShare::onNodeHeard(Asking const& asking, Milliseconds now)
{
    if (!this->roster)
        return;
    if (asking.term > this->roster->term)
        this->resignedAt = now;
    else if (asking.term == this->roster->term && asking.settledFor >= heardTime)
        this->heardAt[static_cast<uint32_t>(hash64(asking.node))] = now;
}

void IssuingShare::onReport(std::span<uint32_t const> nodes, Milliseconds now)
{
    for (auto const node : nodes)
        this->reportedAt[node] = now;
}

std::vector<uint32_t> IssuingShare::recentlyHeard(Milliseconds now) const
{
    std::vector<uint32_t> nodes;
    for (auto const& [node, at] : this->heardAt) {
        if (now - at <= reportedHeardTime)
            nodes.push_back(node);
    }
    return nodes;
}

uint32_t IssuingShare::heard(Milliseconds now)
{
    std::erase_if(this->heardAt, [now](auto const& entry) { return now - entry.second > heardTime; });
    std::erase_if(
        this->reportedAt, [now](auto const& entry) { return now - entry.second > heardTime - reportedHeardTime; });
    auto nodes = this->reportedAt;
    nodes.insert(this->heardAt.begin(), this->heardAt.end());
    nodes[static_cast<uint32_t>(hash64(this->options.name))] = now;
    return static_cast<uint32_t>(nodes.size());
}

double IssuingShare::share(uint32_t nodes, Milliseconds now)
{
    auto const& slots = this->roster ? this->roster->slots : this->options.configured;
    if (this->options.own.empty() || slots.empty())
        return 0;
    auto const count = static_cast<double>(slots.size());
    auto const held = static_cast<double>(std::count(slots.begin(), slots.end(), this->options.own));
    if (!this->roster)
        return held / count;
    // After a pause, this node may have been replaced, and the others hear it again at once.
    if (this->lastDecision && now - *this->lastDecision > certainTime)
        this->resignedAt = now;
    this->lastDecision = now;
    bool const isCertain = this->isCertain(now);
    if (isCertain || !this->confirmedAt)
        this->knownNodes = std::max(nodes, this->confirmedAt ? 0 : this->knownNodes);
    bool const hasResigned = this->resignedAt && this->confirmedAt.value_or(*this->resignedAt) <= *this->resignedAt;
    if (held == 0 || hasResigned)
        return 0;
    auto const all = std::max(this->knownNodes, this->roster->nodes);
    auto const heard = this->heard(now);
    auto const reach = all == 0 ? 0 : std::min(1.0, static_cast<double>(heard) / all);
    // Slots with a former holder that may be certain still, may issue in proportion to the nodes that it hears, and has
    // ended for sure.
    double waiting = 0;
    double shared = 0;
    for (auto const& [slot, at] : this->takenAt) {
        if (now < at + certainTime)
            ++waiting;
        else if (now < at + certainTime + doubtTime)
            ++shared;
    }
    if (isCertain)
        return (held - waiting - shared * (1 - reach)) / count;
    bool const isOver = now - this->confirmedAt.value_or(this->options.startedAt) > doubtTime && heard < all;
    return isOver ? 0 : reach * (held - waiting) / count;
}

} // namespace Toucan
