#include "Base/ByteBudget.h"

#include <utility>
#include <vector>

namespace Toucan {

/// A holder may have this part of what is free. With a half, ten greedy holders that come one after the other would
/// leave nothing; with an eighth, twenty leave a tenth.
constexpr size_t freeShareDivisor = 8;

std::shared_ptr<ByteBudget> ByteBudget::create(Limits limits)
{
    return std::shared_ptr<ByteBudget>(new ByteBudget(limits));
}

std::unique_ptr<ByteBudget::Holder> ByteBudget::createHolder()
{
    return std::make_unique<Holder>(this->shared_from_this());
}

size_t ByteBudget::usedBytes() const { return this->takenBytes + (this->inReserve ? this->inReserve->counted() : 0); }

bool ByteBudget::mayGrow(Holder const& holder) const
{
    auto const counted = holder.counted();
    if (&holder == this->inReserve)
        return counted < this->limits.reserve;
    return counted == 0 || counted <= this->free() / freeShareDivisor;
}

void ByteBudget::fillReserve()
{
    if (this->inReserve && this->inReserve->completed && this->inReserve->counted() <= this->free()) {
        this->takenBytes += this->inReserve->counted();
        this->inReserve = nullptr;
    }
    if (this->inReserve || this->waiting.empty())
        return;
    this->inReserve = this->waiting.begin()->second;
    this->takenBytes -= this->inReserve->counted();
}

void ByteBudget::resumeWaiting()
{
    if (this->waiting.empty() && !this->inReserve)
        return;
    // A resumed holder may give bytes back itself, which the running pass takes into account.
    if (std::exchange(this->resuming, true))
        return;
    while (true) {
        this->fillReserve();
        auto const next = std::find_if(this->waiting.begin(), this->waiting.end(),
            [this](auto const& entry) { return this->mayGrow(*entry.second); });
        if (next == this->waiting.end())
            break;
        auto const resume = std::exchange(next->second->resume, nullptr);
        this->waiting.erase(next);
        resume();
    }
    this->resuming = false;
}

size_t ByteBudget::Holder::counted() const { return this->held - std::min(this->held, this->budget->limits.allowance); }

bool ByteBudget::Holder::resize(size_t bytes, std::function<void()> resumeReading)
{
    auto const before = this->counted();
    this->held = bytes;
    if (this != this->budget->inReserve) {
        this->budget->takenBytes += this->counted();
        this->budget->takenBytes -= before;
    }
    this->budget->waiting.erase(this->turn);
    this->resume = nullptr;
    if (!this->budget->mayGrow(*this)) {
        if (!this->turn)
            this->turn = ++this->budget->lastTurn;
        this->budget->waiting.emplace(this->turn, this);
        this->resume = std::move(resumeReading);
    }
    this->budget->resumeWaiting();
    return !this->resume;
}

void ByteBudget::Holder::complete()
{
    this->completed = true;
    this->budget->resumeWaiting();
}

ByteBudget::Holder::~Holder()
{
    this->budget->waiting.erase(this->turn);
    if (this == this->budget->inReserve)
        this->budget->inReserve = nullptr;
    else
        this->budget->takenBytes -= this->counted();
    this->budget->resumeWaiting();
}

} // namespace Toucan
