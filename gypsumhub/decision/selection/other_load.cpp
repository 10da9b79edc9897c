#include "gypsumhub/decision/selection/other_load.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    // At a load of 70 to 85 % the queue of a target changes within some seconds.
    constexpr auto decaySeconds = 4.0;
    // Weight of an answer. The work of requests varies as much as their wait does.
    constexpr auto answerWeight = 0.3;
    // Requests per slot at a target that declines one: two slots with a queue of up to eight hold five per slot; some of them are this node's.
    constexpr auto requestsPerSlotWhenFull = 4.0;
    constexpr auto minUsualSeconds = 1e-3;

} // namespace

auto other_load::expected(time_point now) const -> double
{
    return m_requests * std::exp(-std::max((now - m_estimatedAt).seconds(), 0.0) / decaySeconds);
}

auto other_load::recordDecline(uint32_t slots, time_point now) -> void
{
    m_requests = std::max(expected(now), requestsPerSlotWhenFull * slots);
    m_estimatedAt = now;
}

auto other_load::recordAnswer(duration took, duration usual, uint32_t slots, time_point now) -> void
{
    // In the excess the slots ran the requests that came before.
    auto ahead = (took - usual).seconds() / std::max(usual.seconds(), minUsualSeconds) * slots;
    auto known = expected(now);
    m_requests = std::clamp(known + answerWeight * (ahead - known), 0.0, requestsPerSlotWhenFull * slots);
    m_estimatedAt = now;
}

} // namespace gypsumhub
