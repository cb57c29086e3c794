#pragma once

#include <algorithm>

namespace Toucan {

/// Budget of extra attempts: first attempts fill it, hedges and retries drain it.
class TokenBucket {
public:
    void fill(double tokens) { this->tokens = std::min(burst, this->tokens + tokens); }

    bool tryTake()
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

    double available() const { return this->tokens; }

private:
    static constexpr double burst = 10;
    double tokens { burst };
};

} // namespace Toucan
