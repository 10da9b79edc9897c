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

auto store_outage::isGapBefore(time_point now) const -> bool
{
    if (m_failedAt == never)
        return false;
    return now - std::max({ m_answeredAt, m_servedAt, m_failedAt - maxCallTime }) >= minOutage;
}

auto store_outage::recordServed(time_point servedAt) -> void
{
    // A node that is served again first must not hide the outage from those that follow.
    m_hasGap = m_hasGap || isGapBefore(servedAt);
    m_servedAt = std::max(m_servedAt, servedAt);
}

auto store_outage::recordFailure(time_point now) -> void
{
    m_failedAt = std::min(m_failedAt, now);
}

auto store_outage::recordAnswer(time_point now, time_point servedAt) -> bool
{
    m_servedAt = std::max(m_servedAt, servedAt);
    auto hasEnded = std::exchange(m_hasGap, false) || isGapBefore(now);
    m_failedAt = never;
    m_answeredAt = now;
    return hasEnded;
}

} // namespace gypsumhub
