#include "gypsumhub/decision/selection/store_outage.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    // The store removes the entry of a live target when it got no heartbeat for three intervals, of which two at least lie in the
    // outage. Heartbeats come every 1.2 s or less often.
    constexpr auto minOutage = milliseconds(2000);
    // A call to a silent store fails this long after the last moment at which the store may have been there.
    constexpr auto maxCallTime = milliseconds(1500);

} // namespace

auto store_outage::recordFailure(time_point now) -> void
{
    m_failedAt = std::min(m_failedAt, now);
}

auto store_outage::recordAnswer(time_point now, time_point servedAt) -> bool
{
    auto failedAt = std::exchange(m_failedAt, never);
    auto answeredAt = std::exchange(m_answeredAt, now);
    if (failedAt == never)
        return false;
    auto lastServedAt = std::max({ answeredAt, servedAt, failedAt - maxCallTime });
    return now - lastServedAt >= minOutage;
}

} // namespace gypsumhub
