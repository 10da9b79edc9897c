#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// The wall clock, in nanoseconds since the Unix epoch. Code that handles deadlines reads the wall clock only through this function.
auto wallClockNow() -> time_point;

/// A monotonic clock for intervals; its epoch is arbitrary.
auto steadyClockNow() -> time_point;

/// A monotonic clock that includes the time during which the machine was suspended.
auto bootClockNow() -> time_point;

} // namespace gypsumhub
