#include "gypsumhub/decision/selection/leaving_targets.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // By then the target's entry in the store says so too, or the next answer repeats it.
    constexpr auto reportLifetime = seconds(10);

} // namespace

auto leaving_targets::recordAnswer(const leaving_target& stated, time_point now) -> bool
{
    return record(stated, never, now);
}

auto leaving_targets::recordReport(const leaving_target& stated, time_point now) -> bool
{
    return record(stated, now + reportLifetime, now);
}

auto leaving_targets::record(const leaving_target& stated, time_point until, time_point now) -> bool
{
    auto found = m_statements.find(stated.target);
    if (found != m_statements.end()) {
        auto& known = found->second;
        auto isNewer = stated.incarnation > known.incarnation;
        if (stated.incarnation < known.incarnation || (!isNewer && until <= known.until))
            return false;
        auto wasLeaving = !isNewer && now < known.until;
        known = { stated.incarnation, now, until };
        return until == never || !wasLeaving;
    }
    if (m_statements.size() == maxTargets)
        m_statements.erase(std::ranges::min_element(m_statements, {}, [](auto& entry) { return entry.second.statedAt; }));
    m_statements.emplace(stated.target, statement { stated.incarnation, now, until });
    return true;
}

auto leaving_targets::leavingUntil(std::string_view target, uint64_t incarnation) const -> time_point
{
    auto found = m_statements.find(target);
    return found == m_statements.end() || incarnation > found->second.incarnation ? time_point {} : found->second.until;
}

auto leaving_targets::count(time_point now) const -> size_t
{
    return static_cast<size_t>(std::ranges::count_if(m_statements, [&](auto& entry) { return now < entry.second.until; }));
}

} // namespace gypsumhub
