#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// Decides when the callers of refused requests are to come back.
///
/// Answers the load of a burst in which many requests are refused within a short time: callers that all come back after the same
/// time would form the next burst. Each refusal is given its own slot, so that callers return no faster than slots become free.
class retry_schedule {
public:
    /// Returns how long the caller is to wait. `predictedWait` is the time until a slot is predicted to be free for the request,
    /// `slotsPerSecond` the rate at which slots become free, `timeLeft` the time until the caller's deadline. Callers wait for at most a
    /// third of it; what does not fit into that is spread over its last part.
    auto next(time_point now, duration predictedWait, double slotsPerSecond, duration timeLeft) -> duration;

private:
    /// The first time that is not given to a caller.
    time_point m_nextFree {};
    /// In [0, 1). The place of the latest caller in the last part of its time.
    double m_spread { 0 };
};

} // namespace gypsumhub
