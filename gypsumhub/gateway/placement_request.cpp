#include "gypsumhub/gateway/placement_request.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // The share of the latency target after which a free target is accepted although a better one is busy.
    constexpr auto acceptAnyShare = 0.1;
    // A waiting request reserves this many times the mean response time for its own execution.
    constexpr auto responseTimeMargin = 1.3;

    auto scaled(duration length, double factor) -> duration
    {
        return { static_cast<int64_t>(static_cast<double>(length.ns) * factor) };
    }

} // namespace

auto placement_request::setTimes(duration latencyTarget, duration meanResponseTime, time_point latest) -> void
{
    acceptAnyAt = arrivedAt + scaled(latencyTarget, acceptAnyShare);
    auto onTime = arrivedAt + latencyTarget - expectedTime(meanResponseTime);
    // A request that misses its latency target is still of use to the caller until the deadline.
    expiresAt = std::min(std::max(onTime, acceptAnyAt), latest);
}

auto placement_request::serveLate(duration meanResponseTime, time_point latest) -> void
{
    onTimeUntil = expiresAt;
    expiresAt = std::max(expiresAt, latest - expectedTime(meanResponseTime));
}

auto placement_request::expectedTime(duration meanResponseTime) -> duration
{
    return scaled(meanResponseTime, responseTimeMargin);
}

} // namespace gypsumhub
