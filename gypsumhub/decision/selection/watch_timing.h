#pragma once

#include "gypsumhub/core/time_point.h"

namespace gypsumhub {

/// Timing of the watches on the store.
///
/// The store may lose the answer that tells of a change, on a connection that stays open. A watch that finds no change is therefore short:
/// a node that waits for an answer in vain notices it, and reads again, within the time after which the store counts as sound.
struct watch_timing {
    /// A watch on the target registrations ends after this time when nothing changes.
    static constexpr auto maxWait = milliseconds(600);
    /// Pause between two watches, with a jitter of a quarter. Bounds the rate of calls while registrations change quickly.
    static constexpr auto pause = milliseconds(350);
    /// The same for the configuration, which two nodes of the fleet watch, and the node registrations, which one does.
    static constexpr auto maxConfigurationWait = milliseconds(900);
    static constexpr auto maxNodesWait = milliseconds(3000);
    /// Extra delay of a round trip to a store in another region.
    static constexpr auto roundTripAllowance = milliseconds(100);

    /// The greatest age that a reader's view reaches while the store answers.
    static constexpr auto maxViewAge = duration { maxWait.ns + pause.ns * 5 / 4 + roundTripAllowance.ns };
    /// The same for the configuration of a node that watches it.
    static constexpr auto maxConfigurationAge = duration { maxConfigurationWait.ns + roundTripAllowance.ns };
};

} // namespace gypsumhub
