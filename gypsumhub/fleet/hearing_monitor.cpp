#include "gypsumhub/fleet/hearing_monitor.h"

#include <utility>

namespace gypsumhub {

hearing_monitor::hearing_monitor(duration maxTickGap, duration isolationLimit)
    : m_maxTickGap(maxTickGap)
    , m_isolationLimit(isolationLimit)
{
}

auto hearing_monitor::start(time_point now) -> void
{
    m_isolatedFrom = now + m_isolationLimit;
}

auto hearing_monitor::noteActivity(time_point now) -> std::optional<duration>
{
    auto pausedAfter = std::exchange(m_pausedAfter, now + m_maxTickGap);
    if (now < pausedAfter)
        return std::nullopt;
    // What was heard before the pause is old, and the silence during it was not the peers'.
    m_answered = false;
    m_isolated = false;
    m_isolatedFrom = now + m_isolationLimit;
    return now - (pausedAfter - m_maxTickGap);
}

auto hearing_monitor::noteHeard(time_point now) -> void
{
    m_isolated = false;
    m_isolatedFrom = now + m_isolationLimit;
}

auto hearing_monitor::update(time_point now, bool othersExpected) -> void
{
    m_isolated = othersExpected && now >= m_isolatedFrom;
}

} // namespace gypsumhub
