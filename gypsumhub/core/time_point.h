#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace gypsumhub {

/// A length of time in nanoseconds. State stores deadlines (`time_point`); durations are used only in settings and arithmetic.
struct duration {
    int64_t ns { 0 };

    friend constexpr auto operator<=>(duration, duration) = default;
    friend constexpr auto operator+(duration a, duration b) -> duration { return { a.ns + b.ns }; }
    friend constexpr auto operator-(duration a, duration b) -> duration { return { a.ns - b.ns }; }
    friend constexpr auto operator*(duration a, int64_t factor) -> duration { return { a.ns * factor }; }
    friend constexpr auto operator/(duration a, int64_t divisor) -> duration { return { a.ns / divisor }; }
    friend constexpr auto operator/(duration a, duration b) -> int64_t { return a.ns / b.ns; }
    /// Whole milliseconds, rounded down.
    constexpr auto milliseconds() const -> int64_t { return ns / 1'000'000; }
    /// Seconds with fraction.
    constexpr auto seconds() const -> double { return static_cast<double>(ns) * 1e-9; }
};

constexpr auto microseconds(int64_t count) -> duration { return { count * 1'000 }; }
constexpr auto milliseconds(int64_t count) -> duration { return { count * 1'000'000 }; }
constexpr auto seconds(int64_t count) -> duration { return { count * 1'000'000'000 }; }
constexpr auto minutes(int64_t count) -> duration { return seconds(count * 60); }

/// An instant in nanoseconds since the epoch of its clock, see `clock.h`; replays start at 0.
struct time_point {
    int64_t ns { 0 };

    friend constexpr auto operator<=>(time_point, time_point) = default;
    friend constexpr auto operator+(time_point t, duration d) -> time_point { return { t.ns + d.ns }; }
    friend constexpr auto operator-(time_point t, duration d) -> time_point { return { t.ns - d.ns }; }
    friend constexpr auto operator-(time_point a, time_point b) -> duration { return { a.ns - b.ns }; }
};

/// The latest possible instant; means "no deadline".
constexpr auto never = time_point { std::numeric_limits<int64_t>::max() };

} // namespace gypsumhub
