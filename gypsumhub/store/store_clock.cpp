#include "gypsumhub/store/store_clock.h"

#include "gypsumhub/core/clock.h"

#include <chrono>
#include <thread>

namespace gypsumhub {

auto systemStoreClock() -> store_clock
{
    auto waitUntil = [](time_point instant) { std::this_thread::sleep_for(std::chrono::nanoseconds((instant - wallClockNow()).ns)); };
    return { wallClockNow, waitUntil };
}

} // namespace gypsumhub
