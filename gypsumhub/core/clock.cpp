#include "gypsumhub/core/clock.h"

#include <ctime>

namespace gypsumhub {

namespace {

    auto readClock(clockid_t clock) -> time_point
    {
        auto value = timespec {};
        clock_gettime(clock, &value);
        return { static_cast<int64_t>(value.tv_sec) * 1'000'000'000 + value.tv_nsec };
    }

} // namespace

auto wallClockNow() -> time_point
{
    return readClock(CLOCK_REALTIME);
}

auto steadyClockNow() -> time_point
{
    return readClock(CLOCK_MONOTONIC);
}

auto bootClockNow() -> time_point
{
    return readClock(CLOCK_BOOTTIME);
}

} // namespace gypsumhub
