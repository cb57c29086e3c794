#include "Base/ByteBudget.h"

#include <utility>
#include <vector>

namespace Toucan {

/// A holder may use at most 1/8 of the free bytes. With 1/2, ten large holders that arrive one after the other would
/// use up the total; with 1/8, twenty of them leave a tenth of it free.
constexpr size_t freeShareDivisor = 8;

std::shared_ptr<ByteBudget> ByteBudget::create(Limits limits)
{
    return std::shared_ptr<ByteBudget>(new ByteBudget(limits));
}

std::unique_ptr<ByteBudget::Holder> ByteBudget::createHolder()
{
    return std::make_unique<Holder>(this->shared_from_this());
}

size_t ByteBudget::usedBytes() const
{
    return this->usedOfTotal + (this->reserveHolder ? this->reserveHolder->bytesOverAllowance() : 0);
}

bool ByteBudget::mayGrow(Holder const& holder) const
{
    auto const bytesOverAllowance = holder.bytesOverAllowance();
    if (&holder == this->reserveHolder)
        return bytesOverAllowance < this->limits.reserve;
    return bytesOverAllowance == 0 || bytesOverAllowance <= this->free() / freeShareDivisor;
}

void ByteBudget::assignReserve()
{
    if (this->reserveHolder && this->reserveHolder->completed
        && this->reserveHolder->bytesOverAllowance() <= this->free()) {
        this->usedOfTotal += this->reserveHolder->bytesOverAllowance();
        this->reserveHolder = nullptr;
    }
    if (this->reserveHolder || this->waiting.empty())
        return;
    this->reserveHolder = this->waiting.begin()->second;
    this->usedOfTotal -= this->reserveHolder->bytesOverAllowance();
}

void ByteBudget::resumeWaiting()
{
    if (this->waiting.empty() && !this->reserveHolder)
        return;
    // A resumed holder may release bytes, which calls this function again; the outer loop then sees the released bytes.
    if (std::exchange(this->resuming, true))
        return;
    while (true) {
        this->assignReserve();
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

size_t ByteBudget::Holder::bytesOverAllowance() const
{
    return this->held - std::min(this->held, this->budget->limits.allowance);
}

bool ByteBudget::Holder::resize(size_t bytes, std::function<void()> resumeReading)
{
    auto const before = this->bytesOverAllowance();
    this->held = bytes;
    if (this != this->budget->reserveHolder) {
        this->budget->usedOfTotal += this->bytesOverAllowance();
        this->budget->usedOfTotal -= before;
    }
    this->budget->waiting.erase(this->waitPosition);
    this->resume = nullptr;
    if (!this->budget->mayGrow(*this)) {
        if (!this->waitPosition)
            this->waitPosition = ++this->budget->lastWaitPosition;
        this->budget->waiting.emplace(this->waitPosition, this);
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
    this->budget->waiting.erase(this->waitPosition);
    if (this == this->budget->reserveHolder)
        this->budget->reserveHolder = nullptr;
    else
        this->budget->usedOfTotal -= this->bytesOverAllowance();
    this->budget->resumeWaiting();
}

} // namespace Toucan
