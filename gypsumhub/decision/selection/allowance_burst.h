#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace gypsumhub {

/// The credits that one data centre may issue to a customer beyond its rate: its fraction of a number of credits for the whole fleet,
/// which may all be issued within one window and return when that window is over. Answers the load of a customer that stays above its rate
/// or exceeds it again and again, for which a token bucket of the same bound has nothing left after the first burst.
///
/// The fraction that counts is the lowest one held in the past window. The windows of two data centres that issued credits within one window have a
/// moment in common. At that moment their fractions added up to at most 1, so together they issued at most the whole number, also if fractions
/// moved from one to the other. A new holder, as after a restart, has to wait for one window.
class allowance_burst {
public:
    /// Records that this fraction is held from now on.
    auto setFraction(double fraction, duration window, time_point now) -> void;
    /// Records that no fraction is held any more.
    auto loseFraction() -> void { m_fractions.clear(); }
    /// The credits that may be issued now. `total` is the number for the whole fleet.
    auto available(double total, duration window, time_point now) -> uint32_t;
    auto recordIssued(uint32_t count, time_point now) -> void { m_issues.insert(m_issues.end(), count, now); }
    /// When the next credit can be issued because an earlier one returns, or nullopt if that is not what is waited for.
    auto nextReturn(double total, duration window, time_point now) -> std::optional<time_point>;

private:
    struct held_fraction {
        time_point since;
        double fraction;
    };

    auto lowestFraction(duration window, time_point now) -> double;
    /// The credits that may be outstanding.
    auto limitOf(double total, duration window, time_point now) -> size_t;

    /// Oldest first. Without those that ended more than a window ago.
    std::deque<held_fraction> m_fractions;
    std::deque<time_point> m_issues;
};

} // namespace gypsumhub
