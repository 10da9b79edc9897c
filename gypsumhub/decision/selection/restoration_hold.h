#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <utility>

namespace gypsumhub {

/// Holds back removals after the store came back from an older copy. Its listings then lack what was written in the span that was
/// lost, such as the registrations of nodes that had started shortly before, until the writers have written it again.
class restoration_hold {
public:
    /// Records the era that the store named last. If it has risen, removals are held back until `until`.
    auto recordEra(uint16_t era, time_point until) -> void;
    /// Whether entries that a listing of the store lacks are kept.
    auto isHolding(time_point now) const -> bool { return now < m_until; }
    /// Whether the store is to be listed again, since the hold has ended. True once.
    auto takeListingDue(time_point now) -> bool { return !isHolding(now) && std::exchange(m_isListingPending, false); }
    /// `latest`, or the end of the hold if that is earlier.
    auto limit(time_point latest, time_point now) const -> time_point;

private:
    uint16_t m_era { 0 };
    time_point m_until {};
    bool m_isListingPending { false };
};

} // namespace gypsumhub
