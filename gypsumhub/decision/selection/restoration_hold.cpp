#include "gypsumhub/decision/selection/restoration_hold.h"

#include <algorithm>

namespace gypsumhub {

auto restoration_hold::recordEra(uint16_t era, time_point until) -> void
{
    if (era <= m_era)
        return;
    // Nothing that was read before can be missing from the first era.
    if (m_era != 0) {
        m_until = until;
        m_isListingPending = true;
    }
    m_era = era;
}

auto restoration_hold::limit(time_point latest, time_point now) const -> time_point
{
    return isHolding(now) ? std::min(latest, m_until) : latest;
}

} // namespace gypsumhub
