#include "gypsumhub/decision/selection/retry_schedule.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // Callers do not wait for more than one in so many parts of the time that they have left.
    constexpr auto patienceDivisor = 3;
    // The part of the longest wait over which callers are spread for whom no slot becomes free within it.
    constexpr auto spreadShare = 0.5;
    // The golden ratio: the places of successive callers stay far apart, however many there are.
    constexpr auto spreadStep = 0.618034;
    constexpr auto minSlotsPerSecond = 0.1;

} // namespace

auto retry_schedule::next(time_point now, duration predictedWait, double slotsPerSecond, duration timeLeft) -> duration
{
    auto longest = std::max(timeLeft / patienceDivisor, duration {});
    auto at = std::max(now + predictedWait, m_nextFree);
    // A caller that returns earlier than its slot takes none of the later ones.
    if (at > now + longest) {
        m_spread += spreadStep;
        m_spread -= m_spread >= 1 ? 1 : 0;
        return { static_cast<int64_t>(static_cast<double>(longest.ns) * (1 - spreadShare * m_spread)) };
    }
    m_nextFree = at + duration { static_cast<int64_t>(1e9 / std::max(slotsPerSecond, minSlotsPerSecond)) };
    return at - now;
}

} // namespace gypsumhub
