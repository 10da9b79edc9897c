#pragma once

#include "gypsumhub/core/time_point.h"

#include <algorithm>
#include <cstddef>

namespace gypsumhub {

/// Until when a request that comes before the node knows routes and targets waits for them; its arrival when it is refused at
/// once. Answers the load after a power loss: all nodes start at once, and callers come back before the first listing.
inline auto holdUntil(time_point arrivedAt, time_point startedAt, size_t alreadyHeld) -> time_point
{
    // A start whose store answers takes 0.1 to 1 s; callers still have time for the work after that.
    constexpr auto maxHold = milliseconds(800);
    // A node without its store for longer does not know when it can serve.
    constexpr auto startTime = milliseconds(2500);
    // 250 requests a second for the longest hold, at most 64 KB each with their connection.
    constexpr auto maxHeldRequests = size_t { 200 };
    if (alreadyHeld >= maxHeldRequests)
        return arrivedAt;
    return std::max(arrivedAt, std::min(arrivedAt + maxHold, startedAt + startTime));
}

} // namespace gypsumhub
