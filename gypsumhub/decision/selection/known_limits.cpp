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
            m_limits.erase(std::ranges::min_element(m_limits, {}, [](auto& entry) { return entry.second.statedAt; }));
        m_limits.emplace(stated.target, stated);
        return true;
    }
    auto& known = found->second;
    if (stated.statedAt <= known.statedAt)
        return false;
    auto isChanged = stated.incarnation != known.incarnation || stated.requestsPerSecond != known.requestsPerSecond;
    known = stated;
    return isChanged;
}

auto known_limits::find(std::string_view target, uint64_t incarnation) const -> const target_limit*
{
    auto found = m_limits.find(target);
    auto holds = found != m_limits.end() && found->second.incarnation == incarnation && found->second.requestsPerSecond;
    return holds ? &found->second : nullptr;
}

auto known_limits::latest(std::string_view target) const -> const target_limit*
{
    auto found = m_limits.find(target);
    return found == m_limits.end() ? nullptr : &found->second;
}

auto known_limits::count() const -> size_t
{
    return static_cast<size_t>(std::ranges::count_if(m_limits, [](auto& entry) { return entry.second.requestsPerSecond.has_value(); }));
}

auto known_limits::prune(time_point now) -> void
{
    std::erase_if(m_limits, [&](auto& entry) {
        auto& [target, limit] = entry;
        return now > limit.statedAt + (limit.requestsPerSecond ? limitRetention : liftedRetention);
    });
}

} // namespace gypsumhub
