#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>

namespace Toucan {

/// A duration or a point in time, in milliseconds. Fractional, so that latencies below one millisecond can be measured.
struct Milliseconds {
    double value { 0 };

    // clang-tidy mistakes the literal zero inside a defaulted comparison for a null pointer.
    constexpr auto operator<=>(Milliseconds const&) const = default; // NOLINT(modernize-use-nullptr)
    constexpr Milliseconds operator+(Milliseconds other) const { return { this->value + other.value }; }
    constexpr Milliseconds operator-(Milliseconds other) const { return { this->value - other.value }; }
    constexpr Milliseconds operator*(double factor) const { return { this->value * factor }; }
    constexpr Milliseconds& operator+=(Milliseconds other)
    {
        this->value += other.value;
        return *this;
    }
};

constexpr Milliseconds operator""_ms(unsigned long long value) { return { static_cast<double>(value) }; }

/// Reads the system clocks. Code in Engine and Gateway never calls it, but is given the time.
class Clock {
public:
    /// Monotonic time since an arbitrary epoch; for durations and deadlines.
    static Milliseconds now() { return fromChrono(std::chrono::steady_clock::now().time_since_epoch()); }

    /// Time since the Unix epoch; for times of request keys, incarnations and the configuration history. It can jump.
    static Milliseconds wallClock() { return fromChrono(std::chrono::system_clock::now().time_since_epoch()); }

    /// Monotonic time since the start of the VM, including the time for which it was suspended; for the lifetimes of
    /// tokens that other nodes count as well (CLOCK_BOOTTIME, clock_gettime(2)).
    static Milliseconds bootTime()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return fromChrono(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

private:
    template <typename Duration> static Milliseconds fromChrono(Duration duration)
    {
        return { std::chrono::duration<double, std::milli>(duration).count() };
    }
};

} // namespace Toucan
