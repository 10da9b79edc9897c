#include "gypsumhub/decision/selection/shutdown_schedule.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // The process ends this long before it would be killed.
    constexpr auto killMargin = milliseconds(400);
    // Time to write the last refusals before the process ends.
    constexpr auto readMargin = milliseconds(60);
    // Time for an answer that a target sends at its deadline to arrive and to be passed on.
    constexpr auto answerMargin = milliseconds(150);
    // Requests that arrive within this time of the signal are served whatever their deadline: callers have not yet received a
    // directory answer without this node. A request that arrives later must be certain to end in time.
    constexpr auto maxServingTime = milliseconds(2800);
    // Callers that keep a connection use it again within this time, or are told to give it up after it.
    constexpr auto callerPause = seconds(2);
    // Time for a long answer to reach its caller.
    constexpr auto longAnswerTime = milliseconds(500);

} // namespace

shutdown_schedule::shutdown_schedule(time_point now, time_point killedAt)
    : m_beganAt(now)
    , m_servesUntil(now + std::min(maxServingTime, (killedAt - now) / 2))
    , m_latestDeadline(killedAt - killMargin - answerMargin)
    , m_announcesCloseFrom(killedAt - killMargin - readMargin - callerPause - longAnswerTime)
    , m_stopsReadingAt(killedAt - killMargin - readMargin)
    , m_endsAt(killedAt - killMargin)
{
}

auto shutdown_schedule::bringForward(time_point now, time_point killedAt) -> void
{
    auto earlier = shutdown_schedule(m_beganAt, killedAt);
    m_servesUntil = std::min(m_servesUntil, earlier.m_servesUntil);
    m_latestDeadline = std::min(m_latestDeadline, earlier.m_latestDeadline);
    m_announcesCloseFrom = std::min(m_announcesCloseFrom, earlier.m_announcesCloseFrom);
    m_stopsReadingAt = std::min(m_stopsReadingAt, earlier.m_stopsReadingAt);
    m_endsAt = std::min(m_endsAt, std::max(earlier.m_endsAt, now + readMargin));
}

auto shutdown_schedule::idleSeconds(time_point now) const -> int64_t
{
    return std::clamp((m_stopsReadingAt - now).milliseconds(), int64_t { 0 }, callerPause.milliseconds()) / 1000;
}

auto shutdown_schedule::accepts(time_point now, time_point deadline) const -> bool
{
    return now < m_servesUntil || (now < m_stopsReadingAt && deadline <= m_latestDeadline);
}

} // namespace gypsumhub
