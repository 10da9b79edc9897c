#include "gypsumhub/decision/selection/allowance_burst.h"

#include <algorithm>

namespace gypsumhub {

auto allowance_burst::setFraction(double fraction, duration window, time_point now) -> void
{
    lowestFraction(window, now);
    if (m_fractions.empty() || m_fractions.back().fraction != fraction)
        m_fractions.push_back({ now, fraction });
}

auto allowance_burst::lowestFraction(duration window, time_point now) -> double
{
    // The second one was held already when the window began.
    while (m_fractions.size() > 1 && m_fractions[1].since + window <= now)
        m_fractions.pop_front();
    if (m_fractions.empty() || now < m_fractions.front().since + window)
        return 0;
    return std::ranges::min_element(m_fractions, {}, &held_fraction::fraction)->fraction;
}

auto allowance_burst::limitOf(double total, duration window, time_point now) -> size_t
{
    return static_cast<size_t>(std::max(lowestFraction(window, now) * total, 0.0));
}

auto allowance_burst::available(double total, duration window, time_point now) -> uint32_t
{
    while (!m_issues.empty() && now > m_issues.front() + window)
        m_issues.pop_front();
    auto limit = limitOf(total, window, now);
    return static_cast<uint32_t>(limit - std::min(limit, m_issues.size()));
}

auto allowance_burst::nextReturn(double total, duration window, time_point now) -> std::optional<time_point>
{
    auto limit = limitOf(total, window, now);
    if (limit == 0 || m_issues.size() < limit)
        return std::nullopt;
    return m_issues[m_issues.size() - limit] + window;
}

} // namespace gypsumhub
