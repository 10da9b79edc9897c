#pragma once

#include "gypsumhub/config/target_registration.h"
#include "gypsumhub/decision/selection/health_estimate.h"
#include "gypsumhub/decision/selection/other_load.h"
#include "gypsumhub/decision/selection/remaining_work.h"

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
    /// Moving average of the target's response times relative to the mean of its service, or where the cost of requests is learned, to
    /// the expected work of each request; 1 is average.
    double relativeResponseTime { 1 };
    /// The current classification of the target as good or bad, and when it began.
    time_point classifiedSince {};
    bool isClassifiedBad { false };
    /// Failures and stalls since the last success, and when the latest of them was seen.
    uint32_t failuresInRow { 0 };
    time_point lastFailureAt {};
    /// When this node last sent the target a request; zero for never.
    time_point lastChosenAt {};
    /// When the latest request was sent whose outcome is known, also that of another node. At first the time of the registration.
    time_point lastReportAt {};
    /// From then on a trial request is due to a target that joined while this node was running and has no outcome yet.
    time_point trialDueAt { never };
    /// The latest failure that may lie in the network path to the target.
    time_point pathFailedAt {};
    /// The target was removed, or its address belongs to another target. It receives no new requests.
    bool isClosed { false };
    /// The target stated in an answer that it is leaving. It receives no new requests until then.
    time_point leavingUntil {};
    /// The target asked this node to send it nothing until then.
    time_point pausedUntil {};
    /// The expected work of the requests of this node and the load from other nodes, where the cost of requests is learned.
    remaining_work work {};
    other_load others {};

    auto isLeaving(time_point now) const -> bool { return registration.isDraining || isClosed || now < leavingUntil; }
    /// Whether the target takes new requests at all, now or when a slot is free.
    auto acceptsRequests(time_point now) const -> bool { return !isLeaving(now) && now >= pausedUntil; }
};

} // namespace gypsumhub
