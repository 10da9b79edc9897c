#pragma once

#include "gypsumhub/config/target_registration.h"
#include "gypsumhub/decision/selection/health_estimate.h"

#include <cstdint>

namespace gypsumhub {

/// The state that a node keeps for one target.
struct target_state {
    target_registration registration;
    health_estimate health;
    /// Requests of this node that are in flight at the target.
    uint32_t inFlight { 0 };
    /// Backoff after the target declined a request because it was full: it receives no requests until then.
    time_point fullUntil {};
    /// Moving average of the target's response times relative to the mean of its service; 1 is average.
    double relativeResponseTime { 1 };
    /// The current classification of the target as good or bad, and when it began.
    time_point classifiedSince {};
    bool isClassifiedBad { false };
    /// When a request was last sent to the target; zero for never. A target that has idled for long can get a bonus.
    time_point lastChosenAt {};
    /// From then on a trial request is due to a target that joined while this node was running and has no outcome yet.
    time_point trialDueAt { never };
    /// The latest failure that may lie in the network path to the target.
    time_point pathFailedAt {};
    /// The target was removed, or its address belongs to another target. It receives no new requests.
    bool isClosed { false };
};

} // namespace gypsumhub
