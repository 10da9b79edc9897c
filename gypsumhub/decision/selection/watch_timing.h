#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// Timing of the designated reader's watches on the target registrations.
struct watch_timing {
    /// A watch ends after this time when nothing changes.
    static constexpr auto maxWait = milliseconds(600);
    /// Pause between two watches, with a jitter of a quarter. Bounds the rate of calls while registrations change quickly.
    static constexpr auto pause = milliseconds(350);
    /// Extra delay of a round trip to a store in another region.
    static constexpr auto roundTripAllowance = milliseconds(100);

    /// The greatest age that a reader's view reaches while the store answers.
    static constexpr auto maxViewAge = duration { maxWait.ns + pause.ns * 5 / 4 + roundTripAllowance.ns };
};

} // namespace gypsumhub
