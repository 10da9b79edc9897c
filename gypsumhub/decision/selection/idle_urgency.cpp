#include "gypsumhub/decision/selection/idle_urgency.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // A target that works is used at least this often.
    constexpr auto useInterval = milliseconds(1000);
    // After one failure. Leaves time for the next request to arrive within the 2 s after which a target counts as unused.
    constexpr auto trialInterval = milliseconds(1600);
    // The interval doubles with each further failure in a row up to this many times.
    constexpr auto maxDoublings = 2U;
    // One failure may be the ordinary one of a good target.
    constexpr auto minFailuresToRest = 2U;
    // Below the share of targets that may be unused by the users' rule, 0.3, since nodes count only what they know.
    constexpr auto maxRestingShare = 0.2;
    constexpr auto urgencyOfRetryableTrial = 0.5;

    auto intervalOf(const target_state& target, bool mayRest) -> duration
    {
        if (target.failuresInRow == 0)
            return useInterval;
        auto doublings = mayRest ? std::min(target.failuresInRow - 1, maxDoublings) : 0U;
        return trialInterval * (1 << doublings);
    }

    auto idleTime(const target_state& target, time_point now) -> duration
    {
        return now - std::max(target.lastChosenAt, target.lastReportAt);
    }

} // namespace

auto isResting(const target_state& target, time_point now) -> bool
{
    return target.failuresInRow >= minFailuresToRest && idleTime(target, now) >= trialInterval;
}

auto maxRestingTargets(size_t usable) -> size_t
{
    return usable < 2 ? 0 : std::max(size_t { 1 }, static_cast<size_t>(maxRestingShare * static_cast<double>(usable)));
}

auto idleUrgency(const target_state& target, bool isRetryable, bool mayRest, time_point now) -> double
{
    auto urgency = idleTime(target, now).seconds() / intervalOf(target, mayRest).seconds();
    auto due = isRetryable && target.failuresInRow > 0 ? urgencyOfRetryableTrial : 1.0;
    return urgency >= due ? urgency : 0;
}

} // namespace gypsumhub
