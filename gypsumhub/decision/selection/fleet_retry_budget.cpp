#include "gypsumhub/decision/selection/fleet_retry_budget.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto bucketsInWindow = 10;
    // Compensates for a load that falls while retries are sent.
    constexpr auto safetyFactor = 0.95;

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
        // Retries are counted for longer than the window, requests for less, so that the bound holds wherever the window begins.
        requests += bucket.beganAt + m_settings.window > now ? bucket.requests : 0;
        retries += bucket.retries;
    }
    auto age = (now - m_settings.startedAt).seconds() / m_settings.window.seconds();
    auto share = age < 1 ? 0 : m_settings.share * requests;
    auto budget = safetyFactor * (share + m_settings.reserve * reserveShare * std::min(age, 1.0));
    if (retries + 1 > budget)
        return false;
    ++latest.retries;
    return true;
}

} // namespace gypsumhub
