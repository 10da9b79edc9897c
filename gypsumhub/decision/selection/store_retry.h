#pragma once

#include "gypsumhub/core/time_point.h"

#include <algorithm>

namespace gypsumhub {

/// How long to wait before the store is called again, after it has failed for `lost`. A short failure is over soon; a long
/// one is met by all nodes at once, whose calls the store must refuse one by one.
inline auto retryDelay(duration outage) -> duration
{
    constexpr auto minDelay = milliseconds(150);
    // Nodes must know of targets again about 2 s after the store has come back.
    constexpr auto maxDelay = milliseconds(1200);
    return std::clamp(duration { outage.ns / 2 }, minDelay, maxDelay);
}

} // namespace gypsumhub
