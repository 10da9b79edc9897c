#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/selection/request_cost.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumhub {

/// A request for a target.
struct placement_request {
    uint32_t priority { 0 };
    bool isRetryable { false };
    std::vector<std::string> tried;
    time_point arrivedAt;
    /// When the wait for a target ends.
    time_point expiresAt;
    /// From then on a free target is accepted although a better one is busy.
    time_point acceptAnyAt;
    /// Placed later, the request misses its latency target. Set only where requests are served late.
    time_point onTimeUntil { never };
    /// Where the cost of requests is learned.
    std::optional<request_cost> cost {};

    /// Sets the times from the arrival. The wait ends at `latest`.
    auto setTimes(duration latencyTarget, duration meanResponseTime, time_point latest) -> void;
    /// Lets the wait go on after the latency target can no longer be met, until the execution would end after `latest`.
    auto serveLate(duration meanResponseTime, time_point latest) -> void;
    /// The time that a request reserves for its own execution.
    static auto expectedTime(duration meanResponseTime) -> duration;
};

} // namespace gypsumhub
