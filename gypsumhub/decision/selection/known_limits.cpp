#include "gypsumhub/decision/selection/known_limits.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // A report that arrives later than this is no longer on its way.
    constexpr auto liftedRetention = seconds(30);
    // Without an answer for this long, the target has left or is not used.
    constexpr auto limitRetention = minutes(10);

} // namespace

auto known_limits::record(const target_limit& stated) -> bool
{
    auto found = m_limits.find(stated.target);
    if (found == m_limits.end()) {
        if (!stated.requestsPerSecond)
            return false;
        if (m_limits.size() == maxTargets)
            m_limits.erase(std::ranges::min_element(m_limits, {}, [](auto& entry) { return entry.second.limit.statedAt; }));
        m_limits.emplace(stated.target, known_limit { stated, stated.statedAt });
        return true;
    }
    auto& [limit, confirmedAt] = found->second;
    if (stated.statedAt <= limit.statedAt)
        return false;
    auto isChanged = stated.incarnation != limit.incarnation || stated.requestsPerSecond != limit.requestsPerSecond;
    limit = stated;
    if (isChanged)
        confirmedAt = stated.statedAt;
    return isChanged;
}

auto known_limits::recordAnswer(const target_limit& stated, time_point sentAt) -> bool
{
    auto found = m_limits.find(stated.target);
    if (found == m_limits.end())
        return record(stated);
    auto& [limit, confirmedAt] = found->second;
    auto isLimited = limit.incarnation == stated.incarnation && limit.requestsPerSecond;
    auto allowsMore = isLimited && (!stated.requestsPerSecond || *stated.requestsPerSecond > *limit.requestsPerSecond);
    if (allowsMore && sentAt <= confirmedAt)
        return false;
    auto isChanged = record(stated);
    confirmedAt = stated.statedAt;
    return isChanged;
}

auto known_limits::find(std::string_view target, uint64_t incarnation) const -> const target_limit*
{
    auto* known = latest(target);
    return known && known->incarnation == incarnation && known->requestsPerSecond ? known : nullptr;
}

auto known_limits::latest(std::string_view target) const -> const target_limit*
{
    auto found = m_limits.find(target);
    return found == m_limits.end() ? nullptr : &found->second.limit;
}

auto known_limits::count() const -> size_t
{
    return static_cast<size_t>(std::ranges::count_if(m_limits, [](auto& entry) { return entry.second.limit.requestsPerSecond.has_value(); }));
}

auto known_limits::prune(time_point now) -> void
{
    std::erase_if(m_limits, [&](auto& entry) {
        auto& limit = entry.second.limit;
        return now > limit.statedAt + (limit.requestsPerSecond ? limitRetention : liftedRetention);
    });
}

} // namespace gypsumhub
