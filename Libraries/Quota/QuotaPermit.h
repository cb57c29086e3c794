#pragma once

#include "Base/Clock.h"

#include <functional>
#include <utility>

namespace Toucan {

/// The token of one request.
class QuotaPermit {
public:
    struct Hooks {
        /// Time of the clock that includes suspension.
        std::function<Milliseconds()> now;
        /// Returns the token for another request; may be empty.
        std::function<void(Milliseconds expiresAt)> giveBack;
    };

    QuotaPermit(Milliseconds expiresAt, Hooks hooks)
        : expiresAt(expiresAt)
        , hooks(std::move(hooks))
    {
    }

    /// Whether the request may begin to run at a target.
    bool isValid() const { return this->hooks.now() < this->expiresAt; }
    /// Called when the request has not run anywhere and never will. The permit is not valid afterwards.
    void giveBack()
    {
        auto const end = std::exchange(this->expiresAt, {});
        if (auto const hook = std::exchange(this->hooks.giveBack, nullptr))
            hook(end);
    }

private:
    Milliseconds expiresAt;
    Hooks hooks;
};

} // namespace Toucan
