#pragma once

#include "gypsumhub/config/target_registration.h"
#include "gypsumhub/decision/selection/health_estimate.h"

#include <cstdint>

namespace gypsumhub {

/// One target as a node sees it.
struct target_state {
    target_registration registration;
    health_estimate health;
    /// Requests of this node that wait for this target's answer.
    uint32_t inFlight { 0 };
    /// The target declined a request for want of room; it is taken for full until then.
    time_point fullUntil {};
    /// Mean time of this target's successful requests against its service's mean; 1 is usual.
    double relativeResponseTime { 1 };
    /// Since when the target is taken for good or bad, and which of them.
    time_point classifiedSince {};
    bool isClassifiedBad { false };
    /// When it was last chosen; among equals the one that waited longest goes first.
    time_point lastChosenAt {};
    /// It joined while this node was running, and nobody has sent it a request yet; from this instant on one is due.
    time_point trialDueAt { never };
    /// It said that it is leaving, or that the address is another target's; nothing new is sent.
    bool isClosed { false };
};

} // namespace gypsumhub
