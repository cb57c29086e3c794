#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace Toucan {

/// The tokens that one issuer may give out for one limit (token bucket). In any time L it issues at most
/// rate x L + capacity, and a restarted issuer its restartTokens besides.
class QuotaBucket {
public:
    struct Shape {
        /// Tokens per second.
        double rate { 0 };
        /// Tokens.
        double capacity { 0 };
        /// Tokens of a bucket that begins without knowing what an earlier process issued.
        double restartTokens { 0 };

        bool operator==(Shape const&) const = default;
    };
    enum class Start {
        /// With the tokens of a restart.
        Restarted,
        Full,
        /// Without tokens: another issuer may have issued all that the bound allows.
        Empty,
    };

    QuotaBucket(Shape shape, Start start, Milliseconds now);

    /// Applies another rate and capacity; content above the new capacity is lost.
    void setShape(Shape shape, Milliseconds now);
    /// Whole tokens that can be taken.
    uint32_t available(Milliseconds now);
    /// Takes at most `wanted` tokens and returns how many.
    uint32_t take(uint32_t wanted, Milliseconds now);

private:
    void refill(Milliseconds now);

    Shape shape;
    double level { 0 };
    Milliseconds refilledAt;
};

} // namespace Toucan
