#pragma once

#include <cstdint>

namespace Toucan {

/// What a running request may still do after targets ended while running it.
class TerminationLedger {
public:
    /// Targets that may end under one attempt of a caller.
    static constexpr uint32_t maximumTerminated = 2;

    /// Whether the answer fails without the part that is to be sent again.
    enum class Need {
        Optional,
        Required,
    };

    /// Called when the request is sent to one target first: one more target that ends makes it fail.
    void beginCanary() { this->limit = this->terminatedTargets + 1; }
    /// Called when the first target has answered.
    void endCanary() { this->limit = maximumTerminated; }
    /// Called when targets ended under an earlier attempt of the caller: one attempt of the first part, and no hedge.
    void restrict() { this->restricted = true; }
    /// `othersBroke`: whether attempts at other targets broke as well and wait for their verdicts. Nothing more is sent
    /// then: each millisecond may cost another target, and targets that end by themselves seldom do so together.
    void onTerminated(bool othersBroke)
    {
        ++this->terminatedTargets;
        if (othersBroke)
            this->limit = this->terminatedTargets;
    }

    uint32_t terminated() const { return this->terminatedTargets; }
    /// Whether nothing more may be sent.
    bool isExhausted() const { return this->terminatedTargets >= this->limit; }
    bool isRestricted() const { return this->restricted; }
    bool mayHedge() const { return this->terminatedTargets == 0 && !this->restricted; }
    /// Whether a draining target may be used when no other is left.
    bool mayUseLastResort() const { return this->terminatedTargets == 0; }
    bool mayRetry(Need need) const
    {
        return !this->isExhausted() && (this->terminatedTargets == 0 || need == Need::Required);
    }

private:
    uint32_t terminatedTargets { 0 };
    uint32_t limit { maximumTerminated };
    bool restricted { false };
};

} // namespace Toucan
