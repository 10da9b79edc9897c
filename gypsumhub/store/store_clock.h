#pragma once

#include "gypsumhub/core/time_point.h"

#include <functional>

namespace gypsumhub {

/// The time as the store's users see it; tests put a virtual one in its place.
struct store_clock {
    std::function<time_point()> now;
    /// Blocks until the instant.
    std::function<void(time_point)> waitUntil;
};

/// The wall clock.
auto systemStoreClock() -> store_clock;

} // namespace gypsumhub
