#pragma once

#include "gypsumhub/core/time_point.h"

#include <algorithm>

namespace gypsumhub {

/// Returns the backoff before the next call to the store after an outage of the given length. It grows with the outage: a short
/// outage ends soon, while during a long one all nodes call again and the store has to refuse each call.
inline auto retryDelay(duration outage) -> duration
{
    constexpr auto minDelay = milliseconds(150);
    // Nodes must have current registrations about 2 s after the store has recovered.
    constexpr auto maxDelay = milliseconds(1200);
    return std::clamp(duration { outage.ns / 2 }, minDelay, maxDelay);
}

} // namespace gypsumhub
