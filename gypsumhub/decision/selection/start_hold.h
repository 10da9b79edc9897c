#pragma once

#include "gypsumhub/core/time_point.h"

#include <algorithm>
#include <cstddef>

namespace gypsumhub {

/// Returns until when a request that arrives before the node has its routes and targets is held. Returns `arrivedAt` when the
/// request is to be refused at once. Needed after a power loss, when all nodes start together and callers send requests before
/// the first listing has arrived.
inline auto holdUntil(time_point arrivedAt, time_point startedAt, size_t alreadyHeld) -> time_point
{
    // Startup takes 0.1 to 1 s when the store answers. After a hold this long, callers still have time for the request itself.
    constexpr auto maxHold = milliseconds(800);
    // A node that is still without the store after this time cannot predict when it will be able to serve.
    constexpr auto startupPeriod = milliseconds(2500);
    // 250 requests per second for the longest hold, at most 64 KB each including the connection.
    constexpr auto maxHeldRequests = size_t { 200 };
    if (alreadyHeld >= maxHeldRequests)
        return arrivedAt;
    return std::max(arrivedAt, std::min(arrivedAt + maxHold, startedAt + startupPeriod));
}

} // namespace gypsumhub
