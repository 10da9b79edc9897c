#pragma once

#include "gypsumhub/core/time_point.h"

#include <functional>

namespace gypsumhub {

/// Clock of the store's users. Tests replace it by a virtual clock.
struct store_clock {
    std::function<time_point()> now;
    /// Blocks until the instant.
    std::function<void(time_point)> waitUntil;
};

/// A clock that reads the wall clock and blocks the calling thread.
auto systemStoreClock() -> store_clock;

} // namespace gypsumhub
