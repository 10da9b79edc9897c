#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// The wall clock, nanoseconds since the Unix epoch. The only place where the product reads it for deadlines.
auto wallClockNow() -> time_point;

/// A clock that never goes back, for intervals; its epoch is arbitrary.
auto steadyClockNow() -> time_point;

/// A clock that never goes back and also counts the time that the machine was suspended.
auto bootClockNow() -> time_point;

} // namespace gypsumhub
