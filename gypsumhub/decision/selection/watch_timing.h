#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// How often the node that reads the registrations of targets does so.
struct watch_timing {
    /// A watch ends after this time when nothing changes.
    static constexpr auto wait = milliseconds(600);
    /// Between two watches, spread by a quarter; bounds the calls while much changes.
    static constexpr auto pause = milliseconds(350);
    /// What a round trip to a store in another region may add.
    static constexpr auto roundTripAllowance = milliseconds(100);

    /// The oldest that a reader's view grows while the store answers.
    static constexpr auto maxViewAge = duration { wait.ns + pause.ns * 5 / 4 + roundTripAllowance.ns };
};

} // namespace gypsumhub
