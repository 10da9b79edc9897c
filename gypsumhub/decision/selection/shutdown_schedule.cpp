#include "gypsumhub/decision/selection/shutdown_schedule.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // The process ends this long before it would be killed.
    constexpr auto minKillMargin = milliseconds(400);
    constexpr auto maxKillMargin = milliseconds(900);
    // Processor time for the last answers and the end of the process. At 0.07 cores the least margin gives 28 ms.
    constexpr auto endWork = milliseconds(60);
    // Time for the last answers of a shutdown whose end was brought forward to the present.
    constexpr auto minForcedEndDelay = milliseconds(150);
    // Limits the margin of a short shutdown.
    constexpr auto maxMarginShare = 6;
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

    auto killMargin(duration limit, double cores) -> duration
    {
        if (cores <= 0)
            return minKillMargin;
        auto needed = duration { static_cast<int64_t>(static_cast<double>(endWork.ns) / cores) };
        return std::max(minKillMargin, std::min({ needed, maxKillMargin, limit / maxMarginShare }));
    }

} // namespace

shutdown_schedule::shutdown_schedule(time_point now, time_point killedAt, double cores)
    : m_beganAt(now)
    , m_cores(cores)
    , m_servesUntil(now + std::min(maxServingTime, (killedAt - now) / 2))
    , m_endsAt(killedAt - killMargin(killedAt - now, cores))
    // Half of the margin remains for the system to close the connections and to free the memory.
    , m_forcedEndAt(m_endsAt + (killedAt - m_endsAt) / 2)
{
    m_latestDeadline = m_endsAt - answerMargin;
    m_stopsReadingAt = m_endsAt - readMargin;
    m_announcesCloseFrom = m_stopsReadingAt - callerPause - longAnswerTime;
}

auto shutdown_schedule::bringForward(time_point now, time_point killedAt) -> void
{
    auto earlier = shutdown_schedule(m_beganAt, killedAt, m_cores);
    m_servesUntil = std::min(m_servesUntil, earlier.m_servesUntil);
    m_latestDeadline = std::min(m_latestDeadline, earlier.m_latestDeadline);
    m_announcesCloseFrom = std::min(m_announcesCloseFrom, earlier.m_announcesCloseFrom);
    m_stopsReadingAt = std::min(m_stopsReadingAt, earlier.m_stopsReadingAt);
    m_endsAt = std::min(m_endsAt, std::max(earlier.m_endsAt, now + readMargin));
    m_forcedEndAt = std::min(m_forcedEndAt, std::max(earlier.m_forcedEndAt, m_endsAt + minForcedEndDelay));
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
