#include "gypsumhub/decision/selection/fleet_retry_budget.h"

namespace gypsumhub {

namespace {

    constexpr auto bucketsInWindow = 10;
    // Compensates for buckets that are not aligned with the window in which the bound must hold.
    constexpr auto safetyFactor = 0.9;

} // namespace

auto fleet_retry_budget::current(time_point now) -> bucket&
{
    auto length = m_settings.window / bucketsInWindow;
    // One extra bucket covers a window that begins inside a bucket.
    while (!m_buckets.empty() && m_buckets.front().beganAt + m_settings.window + length <= now)
        m_buckets.pop_front();
    if (m_buckets.empty() || m_buckets.back().beganAt + length <= now)
        m_buckets.push_back({ now });
    return m_buckets.back();
}

auto fleet_retry_budget::recordRequest(time_point now) -> void
{
    ++current(now).requests;
}

auto fleet_retry_budget::tryConsume(time_point now, double reserveShare) -> bool
{
    auto& latest = current(now);
    auto requests = 0.0, retries = 0.0;
    for (auto& bucket : m_buckets) {
        requests += bucket.requests;
        retries += bucket.retries;
    }
    auto budget = safetyFactor * (m_settings.share * requests + m_settings.reserve * reserveShare);
    if (retries + 1 > budget)
        return false;
    ++latest.retries;
    return true;
}

} // namespace gypsumhub
