#include "gypsumhub/decision/selection/repeat_allowance.h"

namespace gypsumhub {

namespace {

    constexpr auto bucketsInWindow = 10;
    // Buckets end at other instants than the window that is judged.
    constexpr auto safetyShare = 0.9;

} // namespace

auto repeat_allowance::current(time_point now) -> bucket&
{
    auto length = m_settings.window / bucketsInWindow;
    // One bucket more than the window holds, so that a window that begins within a bucket is covered.
    while (!m_buckets.empty() && m_buckets.front().beganAt + m_settings.window + length <= now)
        m_buckets.pop_front();
    if (m_buckets.empty() || m_buckets.back().beganAt + length <= now)
        m_buckets.push_back({ now });
    return m_buckets.back();
}

auto repeat_allowance::noteRequest(time_point now) -> void
{
    ++current(now).requests;
}

auto repeat_allowance::take(time_point now, double reserveShare) -> bool
{
    auto& latest = current(now);
    auto requests = 0.0, repeats = 0.0;
    for (auto& bucket : m_buckets) {
        requests += bucket.requests;
        repeats += bucket.repeats;
    }
    auto allowed = safetyShare * (m_settings.share * requests + m_settings.reserve * reserveShare);
    if (repeats + 1 > allowed)
        return false;
    ++latest.repeats;
    return true;
}

} // namespace gypsumhub
