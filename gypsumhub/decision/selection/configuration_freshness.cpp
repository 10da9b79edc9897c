#include "gypsumhub/decision/selection/configuration_freshness.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // A node that lags behind catches up with the newest version in one step, so few versions are pending at once.
    constexpr auto maxPending = size_t { 8 };

} // namespace

auto configuration_freshness::adopt(uint64_t version) -> void
{
    m_version = std::max(m_version, version);
    auto held = std::ranges::partition_point(m_pending, [&](auto& entry) { return entry.version <= m_version; });
    if (held == m_pending.begin())
        return;
    confirm(std::prev(held)->at);
    m_pending.erase(m_pending.begin(), held);
}

auto configuration_freshness::confirm(time_point at) -> void
{
    if (m_version == 0)
        return;
    m_confirmedAt = m_isConfirmed ? std::max(m_confirmedAt, at) : at;
    m_isConfirmed = true;
}

auto configuration_freshness::recordClaim(uint64_t version, time_point at) -> bool
{
    if (m_version != 0 && version <= m_version) {
        confirm(at);
        return true;
    }
    auto isKnown = std::ranges::any_of(m_pending, [&](auto& entry) { return entry.version <= version && entry.at >= at; });
    if (isKnown)
        return false;
    std::erase_if(m_pending, [&](auto& entry) { return entry.version >= version && entry.at <= at; });
    auto next = std::ranges::find_if(m_pending, [&](auto& entry) { return entry.version > version; });
    m_pending.insert(next, { version, at });
    if (m_pending.size() > maxPending)
        m_pending.erase(m_pending.begin());
    return false;
}

} // namespace gypsumhub
