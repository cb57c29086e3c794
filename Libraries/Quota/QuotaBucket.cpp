#include "Quota/QuotaBucket.h"

#include <algorithm>

namespace Toucan {

constexpr double millisecondsPerSecond = 1000;
/// Largest content of a bucket, so that every count fits its type.
constexpr double largestCapacity = 1e9;

static QuotaBucket::Shape clamped(QuotaBucket::Shape shape)
{
    return { std::clamp(shape.rate, 0.0, largestCapacity), std::clamp(shape.capacity, 0.0, largestCapacity),
        std::clamp(shape.restartTokens, 0.0, largestCapacity) };
}

static double initialLevel(QuotaBucket::Shape const& shape, QuotaBucket::Start start)
{
    if (start == QuotaBucket::Start::Empty)
        return 0;
    return start == QuotaBucket::Start::Full ? shape.capacity : std::min(shape.restartTokens, shape.capacity);
}

QuotaBucket::QuotaBucket(Shape shape, Start start, Milliseconds now)
    : shape(clamped(shape))
    , level(initialLevel(this->shape, start))
    , refilledAt(now)
{
}

void QuotaBucket::setShape(Shape shape, Milliseconds now)
{
    this->refill(now);
    this->shape = clamped(shape);
    this->level = std::min(this->level, this->shape.capacity);
}

uint32_t QuotaBucket::available(Milliseconds now)
{
    this->refill(now);
    return static_cast<uint32_t>(this->level);
}

uint32_t QuotaBucket::take(uint32_t wanted, Milliseconds now)
{
    auto const taken = std::min(wanted, this->available(now));
    this->level -= taken;
    return taken;
}

void QuotaBucket::refill(Milliseconds now)
{
    if (now <= this->refilledAt)
        return;
    auto const seconds = (now - this->refilledAt).value / millisecondsPerSecond;
    this->level = std::min(this->level + seconds * this->shape.rate, this->shape.capacity);
    this->refilledAt = now;
}

} // namespace Toucan
