#include "gypsumhub/fleet/connectivity_monitor.h"

#include <utility>

namespace gypsumhub {

connectivity_monitor::connectivity_monitor(duration maxTickGap, duration isolationTimeout)
    : m_maxTickGap(maxTickGap)
    , m_isolationTimeout(isolationTimeout)
{
}

auto connectivity_monitor::start(time_point now) -> void
{
    m_isolatedFrom = now + m_isolationTimeout;
}

auto connectivity_monitor::recordActivity(time_point now) -> std::optional<duration>
{
    auto pausedAfter = std::exchange(m_pausedAfter, now + m_maxTickGap);
    if (now < pausedAfter)
        return std::nullopt;
    // Answers from before the pause are stale, and the time without messages during the pause does not indicate isolation.
    m_answered = false;
    m_isolated = false;
    m_isolatedFrom = now + m_isolationTimeout;
    return now - (pausedAfter - m_maxTickGap);
}

auto connectivity_monitor::recordMessage(time_point now) -> void
{
    m_isolated = false;
    m_isolatedFrom = now + m_isolationTimeout;
}

auto connectivity_monitor::update(time_point now, bool peersExpected) -> void
{
    m_isolated = peersExpected && now >= m_isolatedFrom;
}

} // namespace gypsumhub
